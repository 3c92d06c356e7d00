package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/hedge"
)

// Guards against an example that doesn't load, that switches hedging on, or whose commented keys are
// no valid policy.
func TestPolicyExample(t *testing.T) {
	p, err := LoadPolicy("../../examples/policy.toml")
	require.NoError(t, err)
	require.False(t, p.Hedging.Enabled())
	text := example(t, "policy.toml")
	full := strings.NewReplacer("# [hedging.", "[hedging.", "\n# share = ", "\nshare = ", "\n# burst = ", "\nburst = ").Replace(text)
	require.NotEqual(t, text, full)
	p, err = ParsePolicy("policy.toml", []byte(full))
	require.NoError(t, err)
	require.True(t, p.Hedging.Enabled())
	require.NotEmpty(t, p.Hedging.Routes)
	require.NotEmpty(t, p.Hedging.Services)
}

// Guards against limits that do not take over what a table leaves out.
func TestPolicyTables(t *testing.T) {
	p, err := ParsePolicy("p.toml", []byte(`
[hedging]
share = 0.02
[hedging.routes."a.b"]
share = 0
[hedging.services.search]
burst = 30
`))
	require.NoError(t, err)
	require.Equal(t, hedge.Policy{
		Limit:    hedge.Limit{Share: 0.02, Burst: 10},
		Routes:   map[string]hedge.Limit{"a.b": {Share: 0, Burst: 10}},
		Services: map[string]hedge.Limit{"search": {Share: 0.02, Burst: 30}},
	}, p.Hedging)
	for _, empty := range []string{"", "[hedging]\n"} {
		p, err = ParsePolicy("p.toml", []byte(empty))
		require.NoError(t, err)
		require.False(t, p.Hedging.Enabled())
	}
}

// Guards against a file whose faults show one after the other, each after a correction and another
// check, and against a value that is taken although it is none.
func TestAllFaultsOfAPolicyAreReported(t *testing.T) {
	_, err := ParsePolicy("p.toml", []byte(`hedge = 1
[hedging]
share = 1.5
burst = "many"
delay = "20ms"
routes.A = 3
routes.b.share = nan
routes.c.burst = 0
services.d.shares = 0.1
services.e.share = -0.1
services.f.burst = [1, 2]
services.g.share = true
[caps]
`))
	require.Error(t, err)
	require.Equal(t, strings.Split(`p.toml: key "caps" = a table: is unknown; the only table is [hedging]
p.toml:1: key "hedge" = 1: is unknown; the only table is [hedging]
p.toml:4: key "hedging.burst" = "many": is no number from 1 to 100000
p.toml:5: key "hedging.delay" = "20ms": is unknown; the keys are "share" and "burst"
p.toml:3: key "hedging.share" = 1.5: is no number from 0 to 1
p.toml:6: key "hedging.routes.A" = 3: is no table
p.toml:7: key "hedging.routes.b.share" = NaN: is no number from 0 to 1
p.toml:8: key "hedging.routes.c.burst" = 0: is no number from 1 to 100000
p.toml:9: key "hedging.services.d.shares" = 0.1: is unknown; the keys are "share" and "burst"
p.toml:10: key "hedging.services.e.share" = -0.1: is no number from 0 to 1
p.toml:11: key "hedging.services.f.burst" = [1 2]: is no number from 1 to 100000
p.toml:12: key "hedging.services.g.share" = true: is no number from 0 to 1`, "\n"), strings.Split(err.Error(), "\n"))

	_, err = ParsePolicy("p.toml", []byte("hedging = 2\n"))
	require.EqualError(t, err, `p.toml:1: key "hedging" = 2: is no table`)
	_, err = ParsePolicy("p.toml", []byte("[hedging]\nshare = \n"))
	require.ErrorContains(t, err, "p.toml:2:")
	_, err = ParsePolicy("p.toml", []byte("[hedging.routes.\"\"]\n"))
	require.ErrorContains(t, err, "empty name")
	_, err = LoadPolicy(filepath.Join(t.TempDir(), "missing.toml"))
	require.ErrorContains(t, err, "read policy")
}

// Guards against input that breaks the reader.
func FuzzPolicy(f *testing.F) {
	f.Add("[hedging]\nshare = 0.1\n[hedging.routes.a]\nburst = 2\n")
	f.Add("hedging.services.\"x.y\".share = inf")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePolicy("p.toml", []byte(text))
		if err != nil {
			require.Equal(t, Policy{}, p)
		}
	})
}
