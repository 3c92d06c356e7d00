// Package load is an open-loop load generator: calls start at their planned times,
// whatever became of earlier ones. It checks every byte of every answer and asks
// the targets whether a call was executed more than once.
package load

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// progressInterval is how often a run writes a line about its progress.
const progressInterval = 5 * time.Second

// Run carries out one run. It ends early when ctx ends: no further calls start, and
// those in progress are finished.
func Run(ctx context.Context, s *Settings, logger *slog.Logger) Report {
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	run := "load-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	audit := newAuditor(s)
	audit.begin(ctx)
	c := &caller{settings: s, sender: newSender(s), recorder: newRecorder(), logger: logger}
	logger.Info("run started", "event", "load_started", "run", run, "seed", seed)

	begin := time.Now()
	stopProgress := c.reportProgress()
	uploads := c.dispatch(ctx, newPlanner(s, run, seed), begin)
	elapsed := time.Since(begin)
	stopProgress()

	report := c.recorder.report()
	report.Run, report.Seed, report.Rate = run, seed, s.Rate
	report.Seconds = elapsed.Seconds()
	report.Achieved = float64(report.Node.Sent+report.Direct.Sent) / report.Seconds
	// The calls are done, so the end of ctx must not keep the check from running.
	report.Duplicates = audit.end(context.WithoutCancel(ctx), run, func(id string) bool { return uploads[id] })
	logger.Info("run ended", "event", "load_ended", "run", run, "passed", report.Passed())
	return report
}

// dispatch starts the calls of a plan at their times, waits for all of them and
// returns the request ids of the uploads.
func (c *caller) dispatch(ctx context.Context, plan *planner, begin time.Time) map[string]bool {
	uploads := map[string]bool{}
	slots := make(chan struct{}, c.settings.MaxInFlight)
	work := context.WithoutCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	planning, cancel := context.WithCancel(ctx)
	defer cancel()
	for call := range plan.plan(planning) {
		if !waitUntil(ctx, begin.Add(call.Start)) {
			break
		}
		if call.Kind == KindUpload {
			uploads[call.ID] = true
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			c.do(work, call, begin.Add(call.Start))
		})
	}
	return uploads
}

// reportProgress writes the counts at intervals until the returned function is called.
func (c *caller) reportProgress() (stop func()) {
	ticker := time.NewTicker(progressInterval)
	done := make(chan struct{})
	var loop sync.WaitGroup
	loop.Go(func() {
		for {
			select {
			case <-ticker.C:
				now := c.recorder.report()
				c.logger.Info("progress", "event", "load_progress", "node", now.Node, "direct", now.Direct)
			case <-done:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(done)
		loop.Wait()
	}
}
