package main

import (
	"net/http"
	"time"
)

const (
	// againInterval is the time after which the request that crashes workers comes again. It exceeds
	// contactTime, so that the machines are in touch again after a restart.
	againInterval = 4 * time.Second
	// maxRoundsBefore limits how often it comes until it has crashed three workers, and
	// roundsAfter is how often it comes after each restart.
	maxRoundsBefore = 8
	roundsAfter     = 3
	// restarts is how often all nodes are killed, nodeDown how long they are down.
	restarts = 3
	nodeDown = time.Second
)

// playForgetting has a request crash workers until the nodes refuse it for good, kills all nodes at
// once, and has it come again once they are in touch; and so twice more.
func playForgetting(c *cluster, trouble bool) error {
	crashing := &poison{name: "after the restart"}
	onRun := func(r run) bool {
		if r.path != "/desk/broken" {
			return true
		}
		crashing.reached(r)
		crashing.crashed(int(r.boot.running.Load()) - 1)
		c.record.add("%s crashes worker %s", r.id, r.worker)
		r.boot.crash(crashDown, "")
		return false
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
				if m := c.machines[i%len(c.machines)]; m.startedAt.Load() > 0 {
					q.send(m, http.MethodPost, "desk.example", "/desk/order", "order", []byte("an order"))
				}
			}
		}
	}()
	number := 0
	again := func() {
		q.send(c.machines[number%2], http.MethodPost, "desk.example", "/desk/broken", "crashing", []byte("a broken order"))
		number++
		time.Sleep(againInterval)
	}
	for range maxRoundsBefore {
		if crashing.count() >= 3 {
			break
		}
		again()
	}
	again()
	before := crashing.lateRetries(q)
	for range restarts {
		if trouble {
			c.record.add("all nodes are killed")
			c.kill()
			time.Sleep(nodeDown)
			if err := c.startNodes(); err != nil {
				return err
			}
			c.record.add("all nodes are ready")
		}
		time.Sleep(againInterval)
		for range roundsAfter {
			again()
		}
	}
	close(stop)
	<-stopped
	answers := q.summary()
	for _, w := range workers {
		w.mu.Lock()
		w.current.end()
		w.mu.Unlock()
	}
	late := crashing.lateRetries(q)
	c.record.report("answers: %v", answers)
	c.record.report("request that crashes workers: reached workers %d times, crashed %d, with them %d other requests; retries that reached one later than %s after the third crash: %d before the restarts, %d in all, %d allowed",
		len(crashing.runs), len(crashing.crashes), crashing.lost, contactTime, before, late, maxLateRetries)
	if late > maxLateRetries {
		return errBroken
	}
	return nil
}
