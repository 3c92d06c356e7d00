package admission

import (
	"math"
	"time"
)

const (
	// roomWindow is the time over which requests that a shedding target took and refused count:
	// their weight falls to 37 % in it.
	roomWindow = time.Second
	// roomRecovery is the time in which the room grows back to all slots without a further
	// refusal. Each step of the growth may cost one request that the target refuses.
	roomRecovery = 1500 * time.Millisecond
	// roomNoise is the assumed share of requests that a target takes beyond its room, or refuses
	// within it: its node learns of the end of a request later than the target.
	roomNoise = 0.1
	// roomEvidence is how much more likely the observations have to be with a room than with
	// refusals at random, as a natural logarithm.
	roomEvidence = 4.6
)

// room estimates how many requests a target that sheds load takes at a time. From the number of
// requests at the target when it took or refused one, it finds the number up to which the target
// takes requests. With each refusal, the room decreases to that number, but not under one; it
// increases steadily.
//
// A target may also refuse at random or by a rate, whatever number it works on. To hold back
// requests would then only lose some that it would have taken. The room therefore decreases only
// if refusals at random are a much less likely explanation. The zero value has no limit.
type room struct {
	// limit is the estimate as of the last refusal at refusedAt; 0 means that there was none.
	limit     float64
	refusedAt time.Duration
	// levels holds the numbers of requests that the target took and refused, by the number of
	// requests that were there with it, minus one. They are decayed to countedAt. Without recent
	// refusals there are none.
	levels    []levelCounts
	countedAt time.Duration
}

type levelCounts struct{ taken, refused float64 }

// capacity returns how many requests may be at the target.
func (r *room) capacity(slots int, now time.Duration) int {
	if r.limit == 0 {
		return slots
	}
	grown := r.limit + float64(slots)*float64(now-r.refusedAt)/float64(roomRecovery)
	if grown >= float64(slots) {
		return slots
	}
	return max(1, int(grown))
}

// decay reduces the counts to their weight now and forgets them if no refusals are left.
func (r *room) decay(now time.Duration) {
	const forgotten = 0.01
	weight, refused := math.Exp(-float64(now-r.countedAt)/float64(roomWindow)), 0.0
	for i := range r.levels {
		r.levels[i].taken *= weight
		r.levels[i].refused *= weight
		refused += r.levels[i].refused
	}
	r.countedAt = now
	if refused < forgotten {
		r.levels = nil
	}
}

// at returns the counts of a level.
func (r *room) at(level int) *levelCounts {
	for len(r.levels) < level {
		r.levels = append(r.levels, levelCounts{})
	}
	return &r.levels[max(level, 1)-1]
}

// take records that the target took a request when level requests were there.
func (r *room) take(level int, now time.Duration) {
	if r.levels == nil {
		return
	}
	if r.decay(now); r.levels != nil {
		r.at(level).taken++
	}
}

// refuse records that the target refused a request when level requests were there.
func (r *room) refuse(level, slots int, now time.Duration) {
	r.decay(now)
	r.at(level).refused++
	if most, ok := r.learned(); ok {
		r.limit, r.refusedAt = float64(max(1, min(most, r.capacity(slots, now)))), now
	}
}

// learned returns the number of requests up to which the target most likely takes them. ok is
// false if refusals at random explain the observations nearly as well.
func (r *room) learned() (most int, ok bool) {
	var all levelCounts
	// likelihood is that of a room, at first of 0: the target refuses all.
	likelihood := 0.0
	expected, noise := math.Log(1-roomNoise), math.Log(roomNoise)
	for _, c := range r.levels {
		all.taken += c.taken
		all.refused += c.refused
		likelihood += c.refused*expected + c.taken*noise
	}
	best := likelihood
	for i, c := range r.levels {
		likelihood += (c.taken - c.refused) * (expected - noise)
		if likelihood >= best {
			most, best = i+1, likelihood
		}
	}
	share := (all.refused + 0.5) / (all.taken + all.refused + 1)
	random := all.refused*math.Log(share) + all.taken*math.Log(1-share)
	return most, best > random+roomEvidence
}
