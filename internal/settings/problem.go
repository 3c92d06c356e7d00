package settings

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is an invalid or missing value of a key. Validators return it, and Parse
// adds the file and the line.
type Problem struct {
	// Key is the full key, such as "node.zone".
	Key     string
	Message string
	// Missing is true if the key has no value.
	Missing bool
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("key %q: %s", p.Key, p.Message) }

// firstProblem returns the first problem as an error, or nil.
func firstProblem(problems ...*Problem) error {
	for _, p := range problems {
		if p != nil {
			return p
		}
	}
	return nil
}

// required returns a problem if the key has no value.
func required(key string, present bool) *Problem {
	if present {
		return nil
	}
	table, name := "", key
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	if table == "" {
		return &Problem{Key: key, Missing: true, Message: fmt.Sprintf("the required key %q is missing", name)}
	}
	return &Problem{Key: key, Missing: true, Message: fmt.Sprintf("the table [%s] lacks the required key %q", table, name)}
}

// inRange returns a problem if the value is outside its bounds, which are
// inclusive.
func inRange[T cmp.Ordered](key string, value, low, high T) *Problem {
	if value >= low && value <= high {
		return nil
	}
	return &Problem{Key: key, Message: fmt.Sprintf("%v is not between %v and %v", any(value), any(low), any(high))}
}

// checkRule returns a problem for the key if a rule, which may involve other keys,
// does not hold.
func checkRule(key string, ok bool, format string, args ...any) *Problem {
	if ok {
		return nil
	}
	return &Problem{Key: key, Message: fmt.Sprintf(format, args...)}
}

// locateProblem adds the file name to a problem and, if the key is in the file, its
// line.
func locateProblem(name string, data []byte, p *Problem) error {
	if p.Missing {
		return errors.Newf("%s: %s", name, p.Message)
	}
	if line, ok := keyLine(data, p.Key); ok {
		return errors.Newf("%s:%d: %v", name, line, p)
	}
	return errors.Newf("%s: %v", name, p)
}
