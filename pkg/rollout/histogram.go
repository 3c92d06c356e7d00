package rollout

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// HistogramBuckets is the number of latency buckets. Four buckets per octave from 100
// µs reach 4.6 s; the bounds of a bucket are at most 19 % apart.
const HistogramBuckets = 64

// bucketsPerOctave sets the resolution of the logarithmic scale.
const bucketsPerOctave = 4

// firstBucketBound is the upper bound of the first bucket.
const firstBucketBound = 100 * time.Microsecond

// ErrMalformedEvidence marks evidence from another node that violates its encoding. The
// receiver drops the whole message.
var ErrMalformedEvidence = errors.New("malformed evidence")

// Histogram counts latencies in fixed buckets on a logarithmic scale. All nodes use the
// same boundaries, so histograms merge by addition. Its JSON form is the flat list
// [bucket, count, bucket, count, ...] of the non-empty buckets.
type Histogram [HistogramBuckets]uint32

// BucketOf returns the bucket of a latency.
func BucketOf(latency time.Duration) int {
	if latency <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(latency)/float64(firstBucketBound))))
	return min(i, HistogramBuckets-1)
}

// BucketBound returns the largest latency of a bucket. The last bucket is unbounded;
// its lower boundary is returned.
func BucketBound(bucket int) time.Duration {
	bucket = min(max(bucket, 0), HistogramBuckets-2)
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func (h *Histogram) Add(latency time.Duration) { h[BucketOf(latency)]++ }

// Total returns the number of latencies counted.
func (h *Histogram) Total() uint64 {
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	return total
}

// CountAbove returns the number of latencies in buckets above the given one.
func (h *Histogram) CountAbove(bucket int) uint64 {
	total := uint64(0)
	for _, n := range h[min(max(bucket+1, 0), HistogramBuckets):] {
		total += uint64(n)
	}
	return total
}

// Quantile returns the first bucket at or below which the fraction q of the latencies
// lies, and false for an empty histogram.
func (h *Histogram) Quantile(q float64) (bucket int, ok bool) {
	total := h.Total()
	if total == 0 {
		return 0, false
	}
	need, seen := q*float64(total), 0.0
	for i, n := range h {
		seen += float64(n)
		if seen >= need {
			return i, true
		}
	}
	return HistogramBuckets - 1, true
}

// merge adds the counts of other, saturating on overflow.
func (h *Histogram) merge(other *Histogram) {
	for i, n := range other {
		h[i] += min(n, math.MaxUint32-h[i])
	}
}

// subtract removes the counts of earlier, and reports false if one of them is larger.
func (h *Histogram) subtract(earlier *Histogram) bool {
	for i, n := range earlier {
		if n > h[i] {
			return false
		}
		h[i] -= n
	}
	return true
}

// MarshalJSON implements json.Marshaler.
func (h Histogram) MarshalJSON() ([]byte, error) {
	pairs := []uint32{}
	for i, n := range h {
		if n > 0 {
			pairs = append(pairs, uint32(i), n)
		}
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON implements json.Unmarshaler. Errors are marked with
// ErrMalformedEvidence.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var pairs []uint32
	if err := json.Unmarshal(data, &pairs); err != nil {
		return errors.Wrapf(ErrMalformedEvidence, "histogram: %v", err)
	}
	if len(pairs)%2 != 0 {
		return errors.Wrap(ErrMalformedEvidence, "histogram has a bucket without a count")
	}
	*h = Histogram{}
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i] >= HistogramBuckets || h[pairs[i]] != 0 {
			return errors.Wrapf(ErrMalformedEvidence, "histogram bucket %d is out of range or repeated", pairs[i])
		}
		h[pairs[i]] = pairs[i+1]
	}
	return nil
}
