package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	leavingRounds   = 4
	leavingInterval = 10 * time.Millisecond
	// drainTime is how long a worker may get requests after its leaving was confirmed.
	drainTime = 2 * time.Second
	// heartbeatAfterStart is when the late heartbeat arrives after the start of the node.
	heartbeatAfterStart = 500 * time.Millisecond
	// serveAfterHeartbeat is how long the worker goes on serving after it.
	serveAfterHeartbeat = 5 * time.Second
	// planlessTime replaces the stop and start of the node without the disruption.
	planlessTime = 5 * time.Second
)

// runLeaving lets workers leave one after the other, each by a DELETE that its node confirms, while the node is
// stopped and started.
func runLeaving(c *cluster, trouble bool) (broken bool, err error) {
	c.publish(7, `{"resource_type":"routes","metadata":{"name":"r-charge"},"spec":{"host":"`+chargeHost+`","path_prefix":"`+chargePath+
		`","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":1,"service":"courier","max_attempts":2}},`+
		`{"resource_type":"services","metadata":{"name":"courier"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},`+
		`{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	for _, zone := range []string{"casa-a", "casa-a", "casa-b", "casa-b"} {
		m := c.addMachine(zone, "courier")
		if err := m.startNode(); err != nil {
			return false, err
		}
		if err := m.startWorker(); err != nil {
			return false, err
		}
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	sent := &sentRequests{at: map[string]sentRequest{}}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { c.sendCharges(sent, stop) })
	for round := range leavingRounds {
		m := c.machines[round]
		id := m.workerID
		c.record.write("worker %s leaves: its last heartbeat is on its way, and it sends DELETE", id)
		_ = m.worker.Process.Signal(syscall.SIGUSR1)
		for end := time.Now().Add(3 * time.Second); c.leftAt(id) == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				close(stop)
				all.Wait()
				return false, fmt.Errorf("the leaving of %s was not confirmed", id)
			}
		}
		if trouble {
			if err := m.restartNode(); err != nil {
				close(stop)
				all.Wait()
				return false, err
			}
		} else {
			time.Sleep(planlessTime)
		}
		time.Sleep(heartbeatAfterStart)
		_ = m.worker.Process.Signal(syscall.SIGUSR2)
		time.Sleep(serveAfterHeartbeat)
		c.record.write("worker %s ends", id)
		kill(m.worker, m.workerEnded)
		if err := m.startWorker(); err != nil {
			close(stop)
			all.Wait()
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	all.Wait()
	return c.judgeLeaving(sent), nil
}

// sentRequest is what a client knows of a request.
type sentRequest struct {
	entry  *machine
	status string
}

type sentRequests struct {
	mu sync.Mutex
	at map[string]sentRequest
}

// sendCharges sends requests to machines in touch until stop is closed.
func (c *cluster) sendCharges(sent *sentRequests, stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(leavingInterval):
		}
		entry := c.entryInTouch(i)
		if entry == nil {
			continue
		}
		all.Go(func() {
			id := fmt.Sprintf("charge-%d", i)
			k := &keptClient{address: entry.at(portOutbound)}
			defer k.close()
			status, err := k.post(chargeHost, chargePath+id, id)
			result := fmt.Sprint(status)
			if err != nil {
				result = "closed: " + err.Error()
			}
			sent.mu.Lock()
			defer sent.mu.Unlock()
			sent.at[id] = sentRequest{entry, result}
			if status != http.StatusOK {
				c.record.write("sent: %s to %s; answered: %s", id, entry.name, result)
			}
		})
	}
}

// judgeLeaving reports whether a worker got a request later than the drain time after the confirmation of its leaving,
// through machines in touch: that of the client, and that beside the worker.
func (c *cluster) judgeLeaving(sent *sentRequests) (broken bool) {
	late, lost := map[string]int{}, 0
	for _, e := range c.ran() {
		left, at, request, beside := c.leftAt(e.Worker), time.UnixMilli(e.At), sent.at[e.ID], c.machineOf(e.Worker)
		if left == 0 || e.At-left <= drainTime.Milliseconds() || !request.entry.inTouch(at) || !beside.inTouch(at) {
			continue
		}
		late[e.Worker]++
		if request.status != "200" {
			lost++
		}
		c.record.write("DRAIN: %s, sent to %s, ran at %s %.1f s after the confirmation that it leaves, %.1f s after the start of the node beside it; answered: %s",
			e.ID, request.entry.name, e.Worker, float64(e.At-left)/1000, at.Sub(beside.lastStart(at)).Seconds(), request.status)
	}
	answered := 0
	for _, r := range sent.at {
		if r.status == "200" {
			answered++
		}
	}
	c.record.write("%d requests, %d answered 200; late at workers that leave: %v, %d of them not answered 200", len(sent.at), answered, late, lost)
	return len(late) > 0
}
