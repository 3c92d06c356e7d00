package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// crashDown is how long a worker that crashed is down.
	crashDown = 2 * time.Second
	// crashTime is how long requests are sent.
	crashTime = 45 * time.Second
	// maxLateRetries is how many retries of a request that crashes workers may reach one later than
	// contactTime after the third crash.
	maxLateRetries = 3
)

// poison tracks a request that crashes the workers that run it.
type poison struct {
	name string
	mu   sync.Mutex
	runs []poisonRun
	// crashes holds when it crashed a worker, in the order of the crashes.
	crashes []time.Time
	// lost counts the other requests that ran on the workers at the crashes.
	lost int
}

// poisonRun is a run of the request. inTouch is set if the worker's machine was in touch.
type poisonRun struct {
	id      string
	inTouch bool
}

func (p *poison) reached(r run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, poisonRun{r.id, r.boot.worker.machine.inTouch(r.at)})
}

func (p *poison) crashed(others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes, p.lost = append(p.crashes, time.Now()), p.lost+others
}

// count returns the number of crashes.
func (p *poison) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

// lateRetries returns how many retries reached a worker that were sent later than contactTime after
// the third crash, by machines in touch. A retry that reached two workers counts once.
func (p *poison) lateRetries(q *requesters) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return 0
	}
	late := map[string]bool{}
	for _, r := range p.runs {
		if sent := q.request(r.id); sent.inTouch && r.inTouch && sent.at.Sub(p.crashes[2]) > contactTime {
			late[r.id] = true
		}
	}
	return len(late)
}

// form returns the body of a filled form: the same template of 6 KiB and a different entry.
func form(entry string) []byte {
	template := strings.Repeat("field: (see the notes of the desk)\n", 6<<10/35+1)
	return []byte(template + "entry: " + entry + "\n")
}

const poisonEntry = "a release that the parser cannot read"

// playCrashing has two requests crash the workers that run them. One differs from requests that do
// no harm by its body behind the first 4 KiB, the other one by its caller.
func playCrashing(c *cluster, trouble bool) error {
	byBody, byCaller := &poison{name: "by body"}, &poison{name: "by caller"}
	poisonBody := form(poisonEntry)
	onRun := func(r run) bool {
		var p *poison
		switch {
		case r.path == "/desk/release" && bytes.Equal(r.body, poisonBody):
			p = byBody
		case r.path == "/catalog/index" && r.caller == "desk":
			p = byCaller
		default:
			return true
		}
		p.reached(r)
		if !trouble {
			return true
		}
		others := int(r.boot.running.Load()) - 1
		p.crashed(others)
		c.record.add("%s (%s) crashes worker %s, with it %d other requests", r.id, p.name, r.worker, others)
		r.boot.crash(crashDown, "")
		return false
	}
	c.publish([]string{"desk", "catalog"}, []route{
		{"r-desk", "desk.example", "/desk/", "non_idempotent", "desk", 2000},
		{"r-catalog", "catalog.example", "/catalog/", "safe", "catalog", 2000},
	})
	if err := c.startNodes(); err != nil {
		return err
	}
	var workers []*worker
	for _, m := range c.machines {
		w := &worker{cluster: c, machine: m, work: 60 * time.Millisecond, onRun: onRun}
		if _, err := w.start(""); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	time.Sleep(contactTime + time.Second)

	q := newRequesters(c)
	// HARMLESS=0 shows what the nodes do if no other request has the same path.
	harmless := os.Getenv("HARMLESS") != "0"
	desks, catalogs := c.machines[:4], c.machines[4:]
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for i, end := 0, time.Now().Add(crashTime); time.Now().Before(end); i++ {
		<-tick.C
		if harmless {
			q.send(c.machines[i%len(c.machines)], http.MethodPost, "desk.example", "/desk/release", "form", form(fmt.Sprintf("release %d", i)))
			q.send(catalogs[i%len(catalogs)], http.MethodGet, "catalog.example", "/catalog/index", "index", nil)
		}
		if i%20 == 10 {
			// The same request comes again once a second, at any machine of its caller.
			q.send(desks[i/20%len(desks)], http.MethodPost, "desk.example", "/desk/release", "crashing-form", poisonBody)
			q.send(desks[(i/20+1)%len(desks)], http.MethodGet, "catalog.example", "/catalog/index", "crashing-index", nil)
		}
	}
	answers := q.summary()
	for _, w := range workers {
		w.mu.Lock()
		w.current.end()
		w.mu.Unlock()
	}
	c.record.report("answers: %v", answers)
	broken := false
	for _, p := range []*poison{byBody, byCaller} {
		late := p.lateRetries(q)
		c.record.report("request that crashes workers, told from others %s: reached workers %d times, crashed %d, with them %d other requests; %d retries reached one later than %s after the third crash, %d allowed",
			p.name, len(p.runs), len(p.crashes), p.lost, late, contactTime, maxLateRetries)
		broken = broken || late > maxLateRetries
	}
	if broken {
		return errBroken
	}
	return nil
}
