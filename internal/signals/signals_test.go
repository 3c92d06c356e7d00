package signals_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/signals"
)

// Guards against malformed or absurd load signals that are taken for a load, and against
// rejecting the three figures of older targets.
func TestReadLoad(t *testing.T) {
	h := signals.Headers{Load: "X-Load"}
	for _, c := range []struct {
		values []string
		want   signals.Load
		ok     bool
	}{
		{[]string{"3,2,12,250"}, signals.Load{Running: 3, Waiting: 2, Slots: 12, Disturbance: 2.5}, true},
		{[]string{" 3 , 0,12 , 100 "}, signals.Load{Running: 3, Slots: 12, Disturbance: 1}, true},
		{[]string{"3,2,12,87.5"}, signals.Load{Running: 3, Waiting: 2, Slots: 12, Disturbance: 0.875}, true},
		{[]string{"3,2,12"}, signals.Load{Running: 3, Waiting: 2, Slots: 12}, true},
		{nil, signals.Load{}, false},
		{[]string{""}, signals.Load{}, false},
		{[]string{"3,2"}, signals.Load{}, false},
		{[]string{"3,2,12,100,7"}, signals.Load{}, false},
		{[]string{"3,2,12,100", "3,2,12,100"}, signals.Load{}, false},
		{[]string{"-1,2,12,100"}, signals.Load{}, false},
		{[]string{"3.5,2,12,100"}, signals.Load{}, false},
		{[]string{"3,2,99999999999999999999,100"}, signals.Load{}, false},
		{[]string{"3,2,12000000,100"}, signals.Load{}, false},
		{[]string{"3,2,12,"}, signals.Load{}, false},
		{[]string{"3,2,12,0"}, signals.Load{}, false},
		{[]string{"3,2,12,-100"}, signals.Load{}, false},
		{[]string{"3,2,12,NaN"}, signals.Load{}, false},
		{[]string{"3,2,12,Inf"}, signals.Load{}, false},
		{[]string{"3,2,12,1e300"}, signals.Load{}, false},
	} {
		got, ok, err := h.ReadLoad(http.Header{"X-Load": c.values})
		require.Equal(t, c.want, got, "%q", c.values)
		require.Equal(t, c.ok, ok, "%q", c.values)
		require.Equal(t, !c.ok && c.values != nil, err != nil, "%q: %v", c.values, err)
	}
	_, ok, err := signals.Headers{}.ReadLoad(http.Header{"X-Load": {"3,2,12,250"}})
	require.False(t, ok, "a platform without the header")
	require.NoError(t, err)
}
