package quota

import "time"

// SizeRetention is how long a number of nodes counts. Nodes that are cut off or restart return
// sooner, and until then a smaller count would make the shares add up to more than the cap.
const SizeRetention = 10 * time.Minute

// MeshSize is the greatest number of nodes known in SizeRetention. The zero value knows none.
type MeshSize struct {
	// counts are in the order of their times, with decreasing numbers.
	counts []sizeAt
}

type sizeAt struct {
	at    time.Duration
	count int
}

// Observe records that the mesh had a number of nodes at a time. Counts of other nodes keep the
// time at which they were observed first: otherwise two nodes would confirm a count to each other
// forever.
func (s *MeshSize) Observe(at time.Duration, count int) {
	i := len(s.counts)
	for i > 0 && s.counts[i-1].at > at {
		i--
	}
	if i < len(s.counts) && s.counts[i].count >= count {
		return
	}
	// Older counts that are not greater never matter again.
	keep := i
	for keep > 0 && s.counts[keep-1].count <= count {
		keep--
	}
	s.counts = append(s.counts[:keep:keep], append([]sizeAt{{at, count}}, s.counts[i:]...)...)
}

// Max returns the greatest number and the time at which it was observed last, 0 if there is none.
func (s *MeshSize) Max(now time.Duration) (count int, at time.Duration) {
	for len(s.counts) > 0 && now-s.counts[0].at > SizeRetention {
		s.counts = s.counts[1:]
	}
	if len(s.counts) == 0 {
		return 0, 0
	}
	return s.counts[0].count, s.counts[0].at
}
