package published_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/published"
)

func route(name, host, prefix string, parts ...published.WeightedService) published.Route {
	return published.Route{
		Name: name, Host: host, Prefix: prefix, Kind: published.Safe, Timeout: time.Second, WeightedServices: parts,
	}
}

func config(routes ...published.Route) *published.Config {
	return &published.Config{
		Version: 1, Routes: routes,
		Services: map[string]published.Service{"a": {Name: "a"}, "b": {Name: "b"}},
	}
}

// The route with the longest prefix must win, among those of the same host only.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	a := published.WeightedService{Service: "a", Weight: 1}
	c := config(route("short", "h.test", "/x/", a), route("long", "h.test", "/x/y/", a), route("other", "i.test", "/x/y/z/", a))
	require.NoError(t, c.Prepare())
	require.Equal(t, "long", c.Lookup("H.test:80", "/x/y/z/1").Name)
	require.Equal(t, "short", c.Lookup("h.test", "/x/yy/1").Name)
	require.Nil(t, c.Lookup("h.test", "/x"), "a prefix ends with a slash")
	require.Nil(t, c.Lookup("unknown.test", "/x/y/"))
}

// A configuration with one invalid route must be rejected as a whole.
func TestInvalidConfigurationsAreRejected(t *testing.T) {
	good := route("good", "h.test", "/x/", published.WeightedService{Service: "a", Weight: 1})
	for name, change := range map[string]func(*published.Route){
		"no host":         func(r *published.Route) { r.Host = "" },
		"prefix":          func(r *published.Route) { r.Prefix = "/x" },
		"kind":            func(r *published.Route) { r.Kind = "odd" },
		"timeout":         func(r *published.Route) { r.Timeout = 0 },
		"no service":      func(r *published.Route) { r.WeightedServices = nil },
		"unknown service": func(r *published.Route) { r.WeightedServices = []published.WeightedService{{Service: "c", Weight: 1}} },
		"negative weight": func(r *published.Route) { r.WeightedServices = []published.WeightedService{{Service: "a", Weight: -1}} },
		"no weight":       func(r *published.Route) { r.WeightedServices = []published.WeightedService{{Service: "a"}} },
		"same prefix":     func(r *published.Route) { r.Prefix = "/x/" },
	} {
		t.Run(name, func(t *testing.T) {
			bad := route("bad", "h.test", "/y/", published.WeightedService{Service: "a", Weight: 1})
			change(&bad)
			require.ErrorContains(t, config(good, bad).Prepare(), "bad")
		})
	}
	require.Error(t, (&published.Config{}).Prepare(), "a configuration without a version")
}

// The traffic split must follow the weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.IntRange(0, 100).Draw(t, "weight")
		r := route("r", "h.test", "/x/", published.WeightedService{Service: "a", Weight: w}, published.WeightedService{Service: "b", Weight: 100 - w})
		count := 0
		for i := range 1000 {
			if r.PickService(float64(i)/1000) == "a" {
				count++
			}
		}
		require.InDelta(t, w*10, count, 1)
	})
}
