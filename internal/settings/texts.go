package settings

import (
	"encoding"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkTextValues validates all values whose type implements
// encoding.TextUnmarshaler, such as Duration and Name. The decoder doesn't call
// UnmarshalText for a number in an integer type or a string in a string type, so
// "timeout = 5" would be 5 ns. Syntax errors are left to the decoder.
func checkTextValues(name string, data []byte, target Validator) error {
	types := fieldTypes(reflect.TypeOf(target), "")
	p := unstable.Parser{}
	p.Reset(data)
	c := textChecker{name: name, parser: &p, types: types}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue {
			table = dottedKey(e) + "."
			continue
		}
		if err := c.keyValue(table, e); err != nil {
			return err
		}
	}
	return nil
}

type textChecker struct {
	name   string
	parser *unstable.Parser
	types  map[string]reflect.Type
}

func (c textChecker) keyValue(table string, e *unstable.Node) error {
	path := table + dottedKey(e)
	return c.value(path, c.types[path], e.Value())
}

func (c textChecker) value(path string, t reflect.Type, v *unstable.Node) error {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if err := c.keyValue(path+".", it.Node()); err != nil {
				return err
			}
		}
		return nil
	case unstable.Array:
		if t == nil || t.Kind() != reflect.Slice {
			return nil
		}
		for it := v.Children(); it.Next(); {
			if err := c.value(path, t.Elem(), it.Node()); err != nil {
				return err
			}
		}
		return nil
	}
	if t == nil || !reflect.PointerTo(t).Implements(textUnmarshaler) {
		return nil
	}
	err := reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText(v.Data)
	if err == nil && v.Kind != unstable.String {
		err = errors.Newf("%s must be written in quotes", v.Data)
	}
	if err == nil {
		return nil
	}
	at := c.parser.Shape(v.Raw).Start
	return errors.Newf("%s:%d:%d: key %q: %v", c.name, at.Line, at.Column, path, err)
}

// dottedKey returns the dotted key of an expression in lower case, since the
// decoder matches field names case-insensitively.
func dottedKey(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.ToLower(strings.Join(parts, "."))
}
