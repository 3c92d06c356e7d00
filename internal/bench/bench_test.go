package bench

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slope and intercept being mixed up.
func TestFitLine(t *testing.T) {
	fit := FitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	require.InDelta(t, 2, fit.Slope, 1e-9)
	require.InDelta(t, 3, fit.Intercept, 1e-9)
	require.InDelta(t, 1, fit.R2, 1e-9)
	require.InDelta(t, 203, fit.At(100), 1e-9)
}

// Guards against an index that is off by one: of 100 samples, 99 must not
// exceed the 0.99 quantile.
func TestQuantile(t *testing.T) {
	require.Zero(t, Quantile(nil, 0.5))
	var samples []time.Duration
	for i := range 100 {
		samples = append(samples, time.Duration(100-i))
	}
	require.EqualValues(t, 50, Quantile(samples, 0.5))
	require.EqualValues(t, 99, Quantile(samples, 0.99))
	require.EqualValues(t, 100, Quantile(samples, 1))
}

// Guards against a process name with a space or parenthesis shifting the fields.
func TestParseStat(t *testing.T) {
	var u Usage
	line := "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 1"
	require.NoError(t, parseStat([]byte(line), &u))
	require.Equal(t, 1750*time.Millisecond, u.CPU)
	require.Error(t, parseStat([]byte("7 (a) S 1"), &u))
	require.Error(t, parseStat([]byte("nonsense"), &u))
}

// Guards against wrong units of memory and lost directions of traffic.
func TestParseStatusAndIO(t *testing.T) {
	var u Usage
	require.NoError(t, parseStatus([]byte("VmPeak: 9 kB\nVmRSS:\t  12 kB\nRssAnon:\t 5 kB\n"), &u))
	require.EqualValues(t, 5<<10, u.Anonymous)
	require.Error(t, parseStatus([]byte("VmRSS:\t  12 kB\n"), &u))
	require.EqualValues(t, 12<<10, u.RSS)
	require.NoError(t, parseIO([]byte("rchar: 3\nwchar: 4\nsyscr: 9\n"), &u))
	require.EqualValues(t, 7, u.IO)
	require.Error(t, parseIO([]byte("rchar: 3\n"), &u))
}

// Guards against a change of the files in /proc that the parsers do not follow.
func TestReadUsageOfSelf(t *testing.T) {
	u, err := ReadUsage(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, u.RSS)
	require.Positive(t, u.IO)
}
