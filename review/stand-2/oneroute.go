package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// rolloutTime is the time from the order to its deadline, afterRollout how long requests are
	// sent after that.
	rolloutTime  = 15 * time.Second
	afterRollout = 65 * time.Second
	// exposeShare, exposeSlack and rollbackTime are bounds of the deployment.
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	// drainAfter is when the workers of a version leave that was taken back.
	drainAfter = 3 * time.Second
	// badAnswers is the number of bad answers after which rollbackTime begins.
	badAnswers = 50
	// uploadEvery is the number of requests of which one goes to the route that the bad version
	// fails, and failEvery that of uploads of which it fails one.
	uploadEvery = 40
	failEvery   = 2
)

// versionCounts holds what the workers saw.
type versionCounts struct {
	mu      sync.Mutex
	sentAt  map[string]time.Time
	runs    []run
	uploads int
	// bad holds the times of the bad answers.
	bad []time.Time
}

// isUpload reports whether a request goes to the route that the bad version fails.
func isUpload(r run) bool { return strings.HasPrefix(r.path, "/upload/") }

// playOneRoute moves a service to a version that fails every second request of one of its routes,
// the one with little traffic.
func playOneRoute(c *cluster, trouble bool) error {
	seen := &versionCounts{sentAt: map[string]time.Time{}}
	c.publish([]string{"desk"}, []route{
		{"r-read", "desk.example", "/read/", "safe", "desk", 1000},
		{"r-upload", "desk.example", "/upload/", "upload", "desk", 1000},
	})
	if err := c.startNodes(); err != nil {
		return err
	}
	var workers []*worker
	for i, m := range c.machines {
		w := &worker{cluster: c, machine: m, work: 80 * time.Millisecond, onRun: seen.reached}
		if i >= len(c.machines)/2 {
			w.version = "v2"
			if trouble {
				w.fails = seen.fails
			}
		}
		workers = append(workers, w)
	}
	old, fresh := workers[:len(workers)/2], workers[len(workers)/2:]
	for _, w := range old {
		if _, err := w.start(""); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second)

	q := newRequesters(c)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(12500 * time.Microsecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			method, path, label := http.MethodGet, fmt.Sprintf("/read/%d", i), "read"
			var body []byte
			if i%uploadEvery == 0 {
				method, path, label, body = http.MethodPost, fmt.Sprintf("/upload/%d", i), "upload", form(path)
			}
			at := time.Now()
			id := q.send(c.machines[i%len(c.machines)], method, "desk.example", path, label, body)
			seen.mu.Lock()
			seen.sentAt[id] = at
			seen.mu.Unlock()
		}
	}()
	time.Sleep(5 * time.Second)
	order, err := json.Marshal(map[string]any{"service": "desk", "target_version": "v2", "duration_s": rolloutTime.Seconds()})
	if err != nil {
		return err
	}
	ordered := time.Now()
	c.store.Put("keyed.op", "rollout/desk", order)
	for _, w := range fresh {
		if _, err := w.start(""); err != nil {
			return err
		}
	}
	state := ""
	for end := ordered.Add(rolloutTime + afterRollout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var status struct{ State string }
		_ = json.Unmarshal(c.store.Newest("keyed.status")["rollout/desk"], &status)
		if status.State == state {
			continue
		}
		state = status.State
		c.record.report("status of the move %d ms after the order: %s", time.Since(ordered).Milliseconds(), state)
		if state == "completed" {
			for _, w := range old {
				w.current.end()
			}
		}
		if state == "reverted" {
			for _, w := range fresh {
				time.AfterFunc(drainAfter, func() { w.current.leave() })
			}
		}
	}
	close(stop)
	<-stopped
	c.record.report("answers: %v", q.summary())
	for _, w := range workers {
		w.current.end()
	}
	return seen.judge(c, ordered)
}

// reached records that a request reached a worker.
func (s *versionCounts) reached(r run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
	return true
}

// fails reports whether the bad version fails a request.
func (s *versionCounts) fails(r run) bool {
	if !isUpload(r) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uploads++
	if s.uploads%failEvery != 0 {
		return false
	}
	s.bad = append(s.bad, time.Now())
	return true
}

// judge applies both parts of the rule.
func (s *versionCounts) judge(c *cluster, ordered time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, exposed, late := 0, 0, 0
	for _, r := range s.runs {
		fresh := r.boot.worker.version == "v2"
		if !r.at.Before(ordered) && r.at.Before(ordered.Add(rolloutTime)) {
			all++
			if fresh {
				exposed++
			}
		}
		if fresh && len(s.bad) >= badAnswers && s.sentAt[r.id].Sub(s.bad[badAnswers-1]) > rollbackTime {
			late++
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	c.record.report("new version: %d of %d requests between the order and its deadline, %.1f allowed if it is bad; %d bad answers; %d requests sent later than %s after the %dth",
		exposed, all, allowed, len(s.bad), late, rollbackTime, badAnswers)
	// The rule is about bad versions.
	if len(s.bad) > 0 && (float64(exposed) > allowed || late > 0) {
		return errBroken
	}
	return nil
}
