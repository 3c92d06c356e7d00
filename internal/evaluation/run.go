package evaluation

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// overtime is how long a replay goes on after the deadline, as a part of the
// rollout's time.
const overtime = 0.1

// Config sets up a run.
type Config struct {
	Seed uint64
	// Good and Bad are the numbers of versions per profile.
	Good, Bad int
	Profiles  []Profile
	Methods   []Method
	// Workers is the number of replays at once.
	Workers int
	// FilterAtCaller places the cold-start filter at the caller's node instead of
	// the node beside the target.
	FilterAtCaller bool
}

// Row is the outcome of one replay.
type Row struct {
	Profile  string
	Method   string
	Number   int
	Scenario Scenario
	Result   Result
	// InTime is set for a rollout that was done by its deadline.
	InTime bool
	// Harmed counts the calls that the fault failed or slowed.
	Harmed int
	// NewFailed counts all failed calls of the new version.
	NewFailed int
	// Took is the time from the start to the end, or to the end of the replay.
	Took time.Duration
	// Reason is why the version was taken back.
	Reason string
	// Warned is when the rollout was first reported as at risk, 0 if never.
	Warned time.Duration
}

// Run replays all scenarios with all methods. The rows are in the same order for
// the same config, whatever the number of workers. The error is that of ctx.
func Run(ctx context.Context, c Config) ([]Row, error) {
	var rows []Row
	for _, p := range c.Profiles {
		for _, m := range c.Methods {
			for i := range c.Good + c.Bad {
				bad, number := i >= c.Good, i
				if bad {
					number -= c.Good
				}
				rows = append(rows, Row{
					Profile: p.Name, Method: m.Name, Number: number,
					Scenario: newScenario(p, bad, c.Seed, uint64(number)),
				})
			}
		}
	}
	methods := map[string]Method{}
	for _, m := range c.Methods {
		methods[m.Name] = m
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Workers, 1))
	for i := range rows {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			replay(&rows[i], methods[rows[i].Method], c.FilterAtCaller)
			return nil
		})
	}
	return rows, group.Wait()
}

// replay runs one scenario to its end.
func replay(row *Row, m Method, filterAtCaller bool) {
	s := row.Scenario
	w := newWorld(s, filterAtCaller)
	method := m.make(s, w)
	limit := time.Duration((1 + overtime) * float64(s.Duration))
	now := time.Duration(0)
	for now < limit && method.result() == Open {
		now += tickInterval
		w.tick(now, method.share, func(c call) {
			if c.counted {
				method.counted(c)
			}
		})
		method.tick(now, startUnixMS+now.Milliseconds())
	}
	row.Result = method.result()
	row.Took = now
	row.Reason = method.reason()
	row.Warned = method.warned()
	row.InTime = row.Result == Done && now <= s.Duration
	row.Harmed, row.NewFailed = w.harmed, w.newFailed
}
