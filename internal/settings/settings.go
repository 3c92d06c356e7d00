// Package settings reads and validates the TOML settings files of the binaries.
// Every key is checked at startup; an error names the file, the line and the key.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Validator checks decoded settings. Its error names the key.
type Validator interface {
	Validate() error
}

// Duration is a duration written as a string with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration; write a number with a unit (ms, s, m or h), such as \"250ms\" or \"5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads a TOML file into target, which holds the defaults, and validates the
// result.
func Load(path string, target Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, target)
}

// Parse is like Load but takes the content of the file; name is used in errors.
func Parse(name string, data []byte, target Validator) error {
	if len(data) > maxFileBytes {
		return errors.Newf("%s: %d bytes, the limit is %d", name, len(data), maxFileBytes)
	}
	if err := checkTextValues(name, data, target); err != nil {
		return err
	}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return describeDecodeError(name, err, target)
	}
	err := target.Validate()
	var problem *Problem
	if errors.As(err, &problem) {
		return locateProblem(name, data, problem)
	}
	if err != nil {
		return errors.Newf("%s: %v", name, err)
	}
	return nil
}

func describeDecodeError(name string, err error, target Validator) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		row, column := first.Position()
		key := strings.Join(first.Key(), ".")
		hint := ""
		if near, ok := nearestKey(key, fieldTypes(reflect.TypeOf(target), "")); ok {
			hint = fmt.Sprintf("; did you mean %q?", near)
		}
		return errors.Newf("%s:%d:%d: unknown key %q%s", name, row, column, key, hint)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		key := ""
		if len(decode.Key()) > 0 {
			key = fmt.Sprintf("key %q: ", strings.Join(decode.Key(), "."))
		}
		return errors.Newf("%s:%d:%d: %s%s", name, row, column, key, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return errors.Newf("%s: %v", name, err)
}
