package published_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/published"
)

func drawConfig(t *rapid.T, version published.Version) *published.Config {
	c := &published.Config{Version: version, Services: map[string]published.Service{"a": {Name: "a"}, "b": {Name: "b"}}}
	if rapid.Bool().Draw(t, "third service") {
		c.Services["c"] = published.Service{Name: "c", Connections: rapid.IntRange(1, 3).Draw(t, "connections")}
	}
	c.Limits.BodyBytes = int64(rapid.IntRange(1, 2).Draw(t, "limit"))
	for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 12), rapid.ID[int]).Draw(t, "routes") {
		c.Routes = append(c.Routes, published.Route{
			Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: published.Safe,
			Timeout:          time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second,
			Priority:         rapid.IntRange(0, 1).Draw(t, "priority"),
			WeightedServices: []published.WeightedService{{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Weight: 1}},
		})
	}
	return c
}

// A configuration that is built from encoded deltas over several versions must equal
// the published one.
func TestDeltasLeadToThePublishedConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &published.History{}
		first := drawConfig(t, 1)
		require.NoError(t, first.Prepare())
		last := first
		for v := published.Version(2); v < 6; v++ {
			next := drawConfig(t, v)
			require.NoError(t, next.Prepare())
			d, ok := last.Diff(next)
			require.True(t, ok)
			history.Add(d)
			last = next
		}
		text, err := json.Marshal(history.Since(1))
		require.NoError(t, err)
		var deltas []published.Delta
		require.NoError(t, json.Unmarshal(text, &deltas))
		got := first
		for _, d := range deltas {
			got, err = got.Apply(d)
			require.NoError(t, err)
		}
		require.Equal(t, last.Version, got.Version)
		require.ElementsMatch(t, last.Routes, got.Routes)
		require.Equal(t, last.Services, got.Services)
		require.Equal(t, last.Limits, got.Limits)
	})
}

// A delta that is applied to a version other than its base would produce a
// configuration that was never published.
func TestDeltaFitsItsBaseOnly(t *testing.T) {
	c := &published.Config{Version: 3, Services: map[string]published.Service{}}
	require.NoError(t, c.Prepare())
	_, err := c.Apply(published.Delta{Base: 2, Version: 4})
	require.Error(t, err)
	_, err = c.Apply(published.Delta{Base: 3, Version: 3})
	require.Error(t, err)
	_, err = c.Apply(published.Delta{Base: 3, Version: 4, Changed: []published.Route{{Name: "r"}}})
	require.Error(t, err, "the result is validated as a whole")
	require.EqualValues(t, 3, c.Version)
}

// The history must be bounded and must have no gap between its deltas.
func TestHistoryIsBoundedAndHasNoGap(t *testing.T) {
	h := &published.History{}
	for v := published.Version(1); v < 100; v++ {
		h.Add(published.Delta{Base: v, Version: v + 1})
	}
	require.Nil(t, h.Since(1))
	require.Len(t, h.Since(99), 1)
	require.Less(t, len(h.Since(90)), 12)
	h.Add(published.Delta{Base: 150, Version: 151})
	require.Nil(t, h.Since(99))
	require.Len(t, h.Since(150), 1)
	h.Add(published.Delta{Base: 151, Version: 152, Changed: make([]published.Route, 1000)})
	require.Nil(t, h.Since(151))
}
