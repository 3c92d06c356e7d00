package settings

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLine returns the line number of a key in a valid TOML document.
func keyLine(data []byte, key string) (int, bool) {
	p := unstable.Parser{}
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue {
			table = dottedKey(e) + "."
			continue
		}
		if table+dottedKey(e) == key {
			// Arrays have no position of their own.
			parts := e.Key()
			parts.Next()
			return p.Shape(parts.Node().Raw).Start.Line, true
		}
	}
	return 0, false
}

// fieldTypes maps the dotted keys of a settings struct, including tables, to the
// types of their fields.
func fieldTypes(t reflect.Type, prefix string) map[string]reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	types := map[string]reflect.Type{}
	if t.Kind() != reflect.Struct {
		return types
	}
	for f := range t.Fields() {
		tag := f.Tag.Get("toml")
		if tag == "" {
			continue
		}
		types[prefix+tag] = f.Type
		maps.Copy(types, fieldTypes(f.Type, prefix+tag+"."))
	}
	return types
}

// nearestKey returns the known key to suggest for an unknown one: a key with the
// same last part, which finds keys in the wrong table, or else the key with the
// smallest edit distance, if that is at most half the length of the wrong key.
func nearestKey(wrong string, known map[string]reflect.Type) (string, bool) {
	best, bestEdits := "", len(wrong)/2+1
	for _, k := range slices.Sorted(maps.Keys(known)) {
		if lastPart(k) == lastPart(wrong) {
			return k, true
		}
		if n := editDistance(wrong, k); n < bestEdits {
			best, bestEdits = k, n
		}
	}
	return best, best != ""
}

func lastPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// editDistance returns the Levenshtein distance of two keys in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := diagonal
			if a[i-1] != b[j-1] {
				change++
			}
			diagonal = row[j]
			row[j] = min(change, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
