package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// restartTime is how long the worker is down before it starts again under its id.
	restartTime = time.Second
	// lateness is how late the first ping of the new boot is.
	lateness = 2500 * time.Millisecond
	// leaveAfter is when the new boot is told to leave.
	leaveAfter = 500 * time.Millisecond
	// serveOn is how long a worker that leaves continues to serve after the confirmation.
	serveOn = 8 * time.Second
)

// playDeparting has a worker crash and start again under its id, with a late first ping, and leave
// before that ping arrives.
func playDeparting(c *cluster, trouble bool) error {
	var mu sync.Mutex
	var runs []run
	onRun := func(r run) bool {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, r)
		return true
	}
	c.publish([]string{"desk"}, []route{{"r-desk", "desk.example", "/desk/", "non_idempotent", "desk", 2000}})
	if err := c.startNodes(); err != nil {
		return err
	}
	var workers []*worker
	for _, m := range c.machines {
		w := &worker{cluster: c, machine: m, work: 40 * time.Millisecond, onRun: onRun}
		if _, err := w.start(""); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	leaving := workers[0]
	first := leaving.current
	leaving.holdPing = func(b *boot, sequence uint64) time.Duration {
		if trouble && b.born != first.born && sequence == 1 {
			return lateness
		}
		return 0
	}
	time.Sleep(contactTime + time.Second)

	q := newRequesters(c)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				q.send(c.machines[i%len(c.machines)], http.MethodPost, "desk.example", fmt.Sprintf("/desk/%d", i), "order", []byte("an order"))
			}
		}
	}()
	time.Sleep(4 * time.Second)
	c.record.add("worker %s born %d crashes", first.id, first.born)
	first.end()
	time.Sleep(restartTime)
	second, err := leaving.start(first.id)
	if err != nil {
		return err
	}
	time.Sleep(leaveAfter)
	if !second.leave() {
		return errors.New("the node did not confirm that the worker leaves")
	}
	confirmed := time.Now()
	time.Sleep(serveOn)
	c.record.add("worker %s born %d exits", second.id, second.born)
	second.end()
	time.Sleep(time.Second)
	close(stop)
	<-stopped
	answers := q.summary()
	for _, w := range workers[1:] {
		w.current.end()
	}

	mu.Lock()
	defer mu.Unlock()
	late, before := 0, 0
	for _, r := range runs {
		switch {
		case r.boot != second:
		case r.at.Sub(confirmed) > drainTime:
			late++
			c.record.add("%s ran at %s %d ms after the confirmation", r.id, r.worker, r.at.Sub(confirmed).Milliseconds())
		default:
			before++
		}
	}
	c.record.report("answers: %v", answers)
	c.record.report("requests at the worker that left: %d up to %s after the confirmation, %d later, none allowed", before, drainTime, late)
	if late > 0 {
		return errBroken
	}
	return nil
}
