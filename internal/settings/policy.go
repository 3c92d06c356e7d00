package settings

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"heathercroft.example/heathercroft/pkg/hedge"
)

// Policy holds the operator's own settings of heathercroft-sidecar, beside the settings file of the
// platform.
type Policy struct {
	Hedging hedge.Policy
}

const (
	// defaultHedgeBurst is the burst of a limit that states none.
	defaultHedgeBurst = 10
	// maxHedgeBurst guards against a mistyped number; a mesh has a few hundred nodes.
	maxHedgeBurst = 100_000
)

// LoadPolicy reads and validates a policy file. The error lists all faults with their keys and
// values.
func LoadPolicy(path string) (Policy, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, errors.Wrap(err, "read policy")
	}
	return ParsePolicy(path, data)
}

// ParsePolicy is like LoadPolicy but takes the content of the file; name is used in errors.
func ParsePolicy(name string, data []byte) (Policy, error) {
	if len(data) > maxFileBytes {
		return Policy{}, errors.Newf("%s: %d bytes, the limit is %d", name, len(data), maxFileBytes)
	}
	var file map[string]any
	if err := toml.Unmarshal(data, &file); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			row, column := decode.Position()
			return Policy{}, errors.Newf("%s:%d:%d: %s", name, row, column, strings.TrimPrefix(decode.Error(), "toml: "))
		}
		return Policy{}, errors.Newf("%s: %v", name, err)
	}
	r := policyReader{name: name, data: data}
	var p Policy
	for key, value := range sorted(file) {
		if key != "hedging" {
			r.fault(key, value, "is unknown; the only table is [hedging]")
		} else if table, ok := r.table(key, value); ok {
			p.Hedging = r.hedging(table)
		}
	}
	if len(r.faults) > 0 {
		return Policy{}, errors.Newf("%s", strings.Join(r.faults, "\n"))
	}
	return p, nil
}

// policyReader decodes a policy and collects its faults.
type policyReader struct {
	name   string
	data   []byte
	faults []string
}

// fault adds a fault of a key with its value.
func (r *policyReader) fault(key string, value any, text string) {
	at := r.name
	if line, ok := keyLine(r.data, strings.ToLower(key)); ok {
		at += ":" + strconv.Itoa(line)
	}
	r.faults = append(r.faults, fmt.Sprintf("%s: key %q = %s: %s", at, key, showValue(value), text))
}

// maxShownValue limits the length of a value in an error.
const maxShownValue = 60

func showValue(value any) string {
	text := fmt.Sprint(value)
	switch v := value.(type) {
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		text = "a table"
	}
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + "..."
	}
	return text
}

func (r *policyReader) table(key string, value any) (map[string]any, bool) {
	table, ok := value.(map[string]any)
	if !ok {
		r.fault(key, value, "is no table")
	}
	return table, ok
}

func (r *policyReader) hedging(table map[string]any) hedge.Policy {
	p := hedge.Policy{Limit: hedge.Limit{Burst: defaultHedgeBurst}}
	// The limits of routes and services inherit from the general one.
	for key, value := range sorted(table) {
		if key != "routes" && key != "services" {
			r.limitKey("hedging", key, value, &p.Limit)
		}
	}
	for key, value := range sorted(table) {
		switch key {
		case "routes":
			p.Routes = r.limits("hedging.routes", value, p.Limit)
		case "services":
			p.Services = r.limits("hedging.services", value, p.Limit)
		}
	}
	return p
}

// limits returns the limits of a table of tables, by name.
func (r *policyReader) limits(key string, value any, general hedge.Limit) map[string]hedge.Limit {
	tables, ok := r.table(key, value)
	if !ok {
		return nil
	}
	out := make(map[string]hedge.Limit, len(tables))
	for name, value := range sorted(tables) {
		table, ok := r.table(key+"."+name, value)
		if !ok {
			continue
		}
		if name == "" {
			r.fault(key+"."+name, value, "has an empty name")
		}
		limit := general
		for k, v := range sorted(table) {
			r.limitKey(key+"."+name, k, v, &limit)
		}
		out[name] = limit
	}
	return out
}

// limitKey decodes one key of a limit.
func (r *policyReader) limitKey(table, key string, value any, to *hedge.Limit) {
	full := table + "." + key
	switch key {
	case "share":
		r.number(full, value, 0, 1, &to.Share)
	case "burst":
		r.number(full, value, 1, maxHedgeBurst, &to.Burst)
	default:
		r.fault(full, value, `is unknown; the keys are "share" and "burst"`)
	}
}

func (r *policyReader) number(key string, value any, low, high float64, to *float64) {
	number := math.NaN()
	switch v := value.(type) {
	case int64:
		number = float64(v)
	case float64:
		number = v
	}
	if !(number >= low && number <= high) {
		r.fault(key, value, fmt.Sprintf("is no number from %v to %v", low, high))
		return
	}
	*to = number
}

// sorted yields the keys of a table in order, so that faults are reported in the same order each
// time.
func sorted(table map[string]any) func(func(string, any) bool) {
	return func(yield func(string, any) bool) {
		for _, key := range slices.Sorted(maps.Keys(table)) {
			if !yield(key, table[key]) {
				return
			}
		}
	}
}
