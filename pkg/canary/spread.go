package canary

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// minSpreadLatency is the response time from which responses count for the spread. Below it, the
	// node and its machine take up much of the time.
	minSpreadLatency = 5 * time.Millisecond
	// logScale is the number of steps in which the logarithm of a response time is counted for each
	// factor of e.
	logScale = 1000
	// minLogVariance is the least variance that the response times of a target have, by their
	// logarithm: a factor of 1.3 either way.
	minLogVariance = 0.08
	// toleratedSpread is how many times more than at targets of the old version the response times at
	// those of a healthy new one vary, and faultySpread the same of a version that is slow for a part
	// of its requests: 0.4 of them at three times the time.
	toleratedSpread = 1.25
	faultySpread    = 2.0
	// faultySpreadLogRatio is the logarithm of the likelihood ratio from which a version is faulty.
	faultySpreadLogRatio = 5.0
	// minOldFreedom is the number of degrees of freedom of the old version from which the two are
	// compared.
	minOldFreedom = 20
)

// Latency returns the counts of a successful response of a target that was not cold.
func Latency(took time.Duration) Counts {
	c := Counts{Responses: 1, LatencySumMS: float64(took) / float64(time.Millisecond), LatencyCount: 1}
	if took >= minSpreadLatency {
		log := int64(math.Round(logScale * math.Log(c.LatencySumMS)))
		c.LogSum, c.LogSquares, c.LogCount = log, log*log, 1
	}
	return c
}

// Spread is how much the response times at single targets vary, pooled over the targets of a version.
// Targets of one version differ in speed, which does not count. A version that is slow for a part of
// its requests varies more.
type Spread struct {
	// Squares is the sum of the squared deviations of the logarithms from the mean of their target, and
	// Freedom the number of response times without one for each target.
	Squares float64 `json:"ss"`
	Freedom int     `json:"df"`
}

func (s Spread) add(o Spread) Spread { return Spread{s.Squares + o.Squares, s.Freedom + o.Freedom} }

const (
	// spreadGroups is the number of groups of targets.
	spreadGroups = 8
	// agreeingGroups is the part of the groups that has to speak against a version: a fault of the version shows
	// at all its targets, one of a machine at few.
	agreeingGroups = 2.0 / 3
)

// Spreads holds the spread of each group of targets.
type Spreads [spreadGroups]Spread

// MarshalJSON encodes the groups with responses, each as its number, its degrees of freedom and a thousandth
// of its squares: summaries of a move are sent often.
func (s Spreads) MarshalJSON() ([]byte, error) {
	flat := []int64{}
	for i, group := range s {
		if group.Freedom > 0 {
			flat = append(flat, int64(i), int64(group.Freedom), int64(math.Round(group.Squares*squaresScale)))
		}
	}
	return json.Marshal(flat)
}

// UnmarshalJSON decodes what MarshalJSON has encoded.
func (s *Spreads) UnmarshalJSON(data []byte) error {
	var flat []int64
	if err := json.Unmarshal(data, &flat); err != nil {
		return errors.Wrap(err, "spreads")
	}
	*s = Spreads{}
	for ; len(flat) >= spreadFields; flat = flat[spreadFields:] {
		if i := flat[0]; i >= 0 && i < spreadGroups {
			s[i] = Spread{float64(flat[2]) / squaresScale, int(flat[1])}
		}
	}
	return nil
}

// spreadFields is the number of values of an encoded group, and squaresScale the factor of its squares.
const (
	spreadFields = 3
	squaresScale = 1000
)

// groupOf returns the group of a target.
func groupOf(target string) int { return int(xxhash.Sum64String(target) % spreadGroups) }

func (s Spreads) total() Spread {
	var sum Spread
	for _, group := range s {
		sum = sum.add(group)
	}
	return sum
}

// spread returns that of the responses of one target.
func (c Counts) spread() Spread {
	if c.LogCount < 2 {
		return Spread{}
	}
	sum := float64(c.LogSum)
	squares := (float64(c.LogSquares) - sum*sum/float64(c.LogCount)) / (logScale * logScale)
	return Spread{max(squares, 0), c.LogCount - 1}
}

// Valid reports whether these are the spreads of counted responses.
func (s Spreads) Valid() bool {
	for _, group := range s {
		if !(group.Freedom >= 0 && group.Freedom <= math.MaxInt32 && group.Squares >= 0 && group.Squares <= math.MaxInt32) {
			return false
		}
	}
	return true
}

// logRatio returns the logarithm of the likelihood ratio of a version that is slow for a part of its requests against
// a healthy one, 0 if there is nothing to compare with.
func (s Spread) logRatio(old Spread) float64 {
	if old.Freedom < minOldFreedom {
		return 0
	}
	tolerated := toleratedSpread * max(old.Squares/float64(old.Freedom), minLogVariance)
	const ratio = faultySpread / toleratedSpread
	return -float64(s.Freedom)/2*math.Log(ratio) + s.Squares/(2*tolerated)*(1-1/ratio)
}

// observeSpread compares the response times of both versions, on each route and on all together.
func (a *Analyzer) observeSpread(current, old VersionStats) {
	var groups [spreadGroups]float64
	sum, worst, where := 0.0, 0.0, ""
	a.uneven = false
	for route, s := range current.Spreads {
		reference := a.oldSpread(route, old.Spreads[route].total())
		var ofRoute [spreadGroups]float64
		for i, group := range s {
			ofRoute[i] = group.logRatio(reference)
			groups[i] += ofRoute[i]
		}
		ratio := s.total().logRatio(reference)
		sum += ratio
		a.uneven = a.uneven || ratio > 0
		if bounded := boundedSum(ofRoute); bounded > worst || bounded == worst && route < where {
			worst, where = bounded, route
		}
	}
	a.uneven = a.uneven || sum > 0
	if bounded := boundedSum(groups); bounded > worst {
		worst, where = bounded, allRoutes
	}
	if worst >= faultySpreadLogRatio && a.verdict != VerdictFaulty {
		a.verdict, a.reason = VerdictFaulty, "slow answers among others on route "+where
		if where == allRoutes {
			a.reason = "slow answers among others on all routes"
		}
	}
}

// oldSpread returns the spread of the old version on a route: that since the first observation if it is
// larger than that of all time, since machines may be disturbed meanwhile.
func (a *Analyzer) oldSpread(route string, all Spread) Spread {
	first, known := a.firstOldSpread[route]
	if !known && all.Freedom > 0 {
		a.firstOldSpread[route] = all
	}
	since := Spread{max(all.Squares-first.Squares, 0), all.Freedom - first.Freedom}
	if since.Freedom < minOldFreedom || since.Squares*float64(all.Freedom) < all.Squares*float64(since.Freedom) {
		return all
	}
	return since
}

// boundedSum returns the sum over the groups of targets, of which each adds no more than its part of the
// threshold: less than agreeingGroups of them do not reach it.
func boundedSum(groups [spreadGroups]float64) float64 {
	used := 0
	for _, ratio := range groups {
		if ratio != 0 {
			used++
		}
	}
	sum := 0.0
	for _, ratio := range groups {
		sum += min(ratio, faultySpreadLogRatio/(agreeingGroups*float64(max(used, 1))))
	}
	return sum
}

// Uneven reports whether the response times of the new version vary more than those of the old one,
// though not enough to call it faulty.
func (a *Analyzer) Uneven() bool { return a.uneven }
