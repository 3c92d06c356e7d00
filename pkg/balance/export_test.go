package balance

import "time"

// ChooseCheapest is the former choice: the endpoint with the lowest cost of all.
func (b *Balancer) ChooseCheapest(endpoints []Endpoint, r Request, now time.Duration, random func() float64) (Choice, bool) {
	best, found := b.best(b.candidates(endpoints, r, now, false), r, now, random)
	return best.Choice, found
}
