package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the case: a request that crashes each worker that begins to run it and comes again, and other
// requests beside it.
const (
	crashingTime     = 98 * time.Second
	crashingInterval = 700 * time.Millisecond
	workerDownTime   = 2 * time.Second
	otherInterval    = 50 * time.Millisecond
	rollGap          = 2 * time.Second
	// allowedRetries may reach workers once the request has crashed the third.
	allowedRetries = 3
)

// runCrashing lets a request that crashes workers come again and again while the nodes are stopped and started in turn.
func runCrashing(c *cluster, trouble bool) (broken bool, err error) {
	c.publish(7, `{"resource_type":"routes","metadata":{"name":"r-charge"},"spec":{"host":"`+chargeHost+`","path_prefix":"`+chargePath+
		`","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":1,"service":"courier","max_attempts":2}},`+
		`{"resource_type":"services","metadata":{"name":"courier"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},`+
		`{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	for _, zone := range []string{"casa-a", "casa-a", "casa-b", "casa-b"} {
		m := c.addMachine(zone, "courier")
		if err := m.startNode(); err != nil {
			return false, err
		}
		if err := m.startWorker(crashingArgs...); err != nil {
			return false, err
		}
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, m := range c.machines {
		all.Go(func() { m.restartWorker(stop) })
	}
	if trouble {
		all.Go(func() { c.rollNodes(stop) })
	}
	var answered, lost atomic.Int64
	all.Go(func() { c.sendOthers(&answered, &lost, stop) })

	entries := map[string]*machine{}
	for end, i := time.Now().Add(crashingTime), 0; time.Now().Before(end); i++ {
		time.Sleep(crashingInterval)
		entry := c.entryInTouch(i)
		if entry == nil {
			continue
		}
		id := fmt.Sprintf("crashing-%d", i)
		entries[id] = entry
		k := &keptClient{address: entry.at(portOutbound)}
		status, err := k.post(chargeHost, chargePath+"crashes-workers", id)
		k.close()
		c.record.write("sent: %s to %s, in touch; answered: %d (%v)", id, entry.name, status, err)
	}
	close(stop)
	all.Wait()
	return c.judgeCrashing(entries, &answered, &lost), nil
}

// crashingArgs are the arguments of workers that a request can crash.
var crashingArgs = []string{"-crash", chargePath + "crashes-workers"}

// judgeCrashing counts the retries that reached workers later than the touch time after the third crash, through machines
// in touch: that of the requester, and that beside the worker.
func (c *cluster) judgeCrashing(entries map[string]*machine, answered, lost *atomic.Int64) bool {
	crashes, late := 0, 0
	var third int64
	for _, e := range c.ran() {
		if e.URI != chargePath+"crashes-workers" {
			continue
		}
		crashes++
		if crashes == 3 {
			third = e.At
		}
		at := time.UnixMilli(e.At)
		if crashes > 3 && e.At-third > touchTime.Milliseconds() && entries[e.ID].inTouch(at) && c.machineOf(e.Worker).inTouch(at) {
			late++
			c.record.write("BUDGET: %s crashed worker %s, %.1f s after the third crash", e.ID, e.Worker, float64(e.At-third)/1000)
		}
	}
	c.record.write("the request crashed workers %d times, %d of them more than %s after the third and through machines in touch; %d may be", crashes, late, touchTime, allowedRetries)
	c.record.write("other requests: %d answered 200, %d lost at workers (502, 504 or closed)", answered.Load(), lost.Load())
	return late > allowedRetries
}

// restartWorker starts the worker again some time after it has crashed.
func (m *machine) restartWorker(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-m.workerEnded:
		}
		m.cluster.record.write("the worker on %s has crashed", m.name)
		select {
		case <-stop:
			return
		case <-time.After(workerDownTime):
		}
		if err := m.startWorker(crashingArgs...); err != nil {
			m.cluster.record.write("the worker on %s does not start again: %v", m.name, err)
			return
		}
	}
}

// rollNodes stops and starts the nodes in turn, one at a time.
func (c *cluster) rollNodes(stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(rollGap):
		}
		if err := c.machines[i%len(c.machines)].restartNode(); err != nil {
			c.record.write("a node does not start again: %v", err)
			return
		}
	}
}

// sendOthers sends requests that crash nothing, and counts those that are lost at a worker.
func (c *cluster) sendOthers(answered, lost *atomic.Int64, stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(otherInterval):
		}
		entry := c.entryInTouch(i)
		if entry == nil {
			continue
		}
		all.Go(func() {
			id := fmt.Sprintf("other-%d", i)
			k := &keptClient{address: entry.at(portOutbound)}
			defer k.close()
			switch status, err := k.post(chargeHost, chargePath+id, id); {
			case err == nil && status == http.StatusOK:
				answered.Add(1)
			case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
				lost.Add(1)
				c.record.write("%s, sent to %s, is lost: %d (%v)", id, entry.name, status, err)
			}
		})
	}
}
