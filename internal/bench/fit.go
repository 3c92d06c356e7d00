package bench

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the coefficient of determination.
	R2 float64 `json:"r2"`
}

// FitLine returns the least-squares line through the points.
func FitLine(x, y []float64) Fit {
	alpha, beta := stat.LinearRegression(x, y, nil, false)
	return Fit{Slope: beta, Intercept: alpha, R2: stat.RSquared(x, y, nil, alpha, beta)}
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Quantile returns the smallest sample that at least a part q of the samples
// does not exceed; 0 if there are none.
func Quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	index := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(index-1, 0), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Mean returns the mean of the values, 0 if there are none.
func Mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Mean(values, nil)
}
