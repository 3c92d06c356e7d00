package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quotaWindow, quotaOver and quotaSlack are the bounds of the rule, as in the settings of the deployment with tenants.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// tenantRate and tenantBurst are the usage cap of the tenant.
	tenantRate, tenantBurst = 200, 20
	// quotaRatio is the cap of a tenant by its usual rate (quota_x), usual the rate of all its requesters, and hot that while
	// the tenant sends 7.5 times as much (hot_tenant) for hotTime.
	quotaRatio = 1.6
	usual      = tenantRate / quotaRatio
	hot        = 7.5 * usual
	hotTime    = 6500 * time.Millisecond
	// hotLead is how long the tenant is hot before a machine is cut off, for cutTime, and pause the time until it is hot again.
	hotLead, cutTime, pause = 3200 * time.Millisecond, 5 * time.Second, 2 * time.Second
)

// cut holds which machine is cut off.
type cut struct {
	mu sync.Mutex
	ip string
}

func (c *cut) is(ip string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ip == ip
}

func (c *cut) set(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ip = ip
}

// arrivals are the requests that a worker ran, each once.
type arrivals struct {
	mu   sync.Mutex
	sent map[string]time.Time
	ran  map[string]time.Time
}

// most returns the greatest number of requests that were sent and had arrived within quotaWindow, and its end.
func (a *arrivals) most() (most int, end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	type request struct{ sent, ran time.Time }
	all := make([]request, 0, len(a.ran))
	for id, ran := range a.ran {
		all = append(all, request{a.sent[id], ran})
	}
	slices.SortFunc(all, func(x, y request) int { return x.ran.Compare(y.ran) })
	for i, last := range all {
		n := 0
		for j := i; j >= 0 && last.ran.Sub(all[j].ran) <= quotaWindow; j-- {
			if last.ran.Sub(all[j].sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, end = n, last.ran
		}
	}
	return most, end
}

// quotaCut plays machines that are cut off from the others one after the other, while a tenant asks for more
// than its cap at all machines.
func quotaCut(c *cluster, trouble bool) (int, error) {
	const service, host, key, count = "viewer", "viewer.example", "key-of-ward", 4
	c.put("config", map[string]any{"version": "00000001", "resources": []any{
		resource("services", service, map[string]any{"health_path": "/health", "max_connections": 560}),
		resource("routes", "r-plan", map[string]any{
			"host": host, "path_prefix": "/plan/", "kind": "safe", "service": service,
			"timeout_ms": 1200, "target_latency_ms": 800, "priority": 2, "max_attempts": 2,
		}),
		resource("tenants", "ward", map[string]any{"api_keys": []string{key}, "rate_per_s": tenantRate, "burst": tenantBurst, "priority": 1}),
		limits(),
	}})
	a := &arrivals{sent: map[string]time.Time{}, ran: map[string]time.Time{}}
	answer := func(w *worker, r *http.Request, _ []byte) (string, bool) {
		id := r.Header.Get("Heathercroft-Attempt-Id")
		a.mu.Lock()
		if _, known := a.ran[id]; !known {
			a.ran[id] = time.Now()
		}
		a.mu.Unlock()
		return plain(http.StatusOK, w.signed(r), "a plan"), false
	}
	var off cut
	var proxies [count][]*proxy
	for i := range count {
		advertised := fmt.Sprintf("%s.%d", c.subnet, 110+i)
		for _, port := range []int{portInbound, portPeers} {
			p, err := newProxy(fmt.Sprintf("%s:%d", advertised, port), fmt.Sprintf("%s.%d:%d", c.subnet, 10+i, port), off.is)
			if err != nil {
				return notRun, err
			}
			proxies[i] = append(proxies[i], p)
		}
		c.arguments = []string{"--advertise", advertised}
		if _, err := c.add(&worker{id: fmt.Sprintf("i-%d", i), service: service, slots: 12, work: 5 * time.Millisecond, answer: answer}); err != nil {
			return notRun, err
		}
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var isHot atomic.Bool
	for _, m := range c.machines {
		client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		senders.Go(func() {
			for next := time.Now(); ; time.Sleep(time.Until(next)) {
				select {
				case <-stop:
					return
				default:
				}
				rate := usual / count
				if isHot.Load() {
					rate = hot / count
				}
				next = next.Add(time.Duration(float64(time.Second) / rate))
				senders.Go(func() { a.send(c, client, m, host, key) })
			}
		})
	}
	time.Sleep(6 * time.Second)
	for i, m := range c.machines {
		began := time.Now()
		c.record.line("the tenant sends 7.5 times its usual")
		isHot.Store(true)
		time.Sleep(hotLead)
		if trouble {
			c.record.line("%s is cut off from the other machines, which refuses connections", m.name)
			off.set(m.ip)
			for _, p := range proxies[i] {
				p.refuse()
				p.resetFrom("")
			}
			for _, others := range proxies {
				for _, p := range others {
					p.resetFrom(m.ip)
				}
			}
		}
		time.Sleep(time.Until(began.Add(hotTime)))
		isHot.Store(false)
		c.record.line("the tenant sends its usual")
		time.Sleep(time.Until(began.Add(hotLead + cutTime)))
		if trouble {
			off.set("")
			for _, p := range proxies[i] {
				if err := p.listen(); err != nil {
					return notRun, err
				}
			}
			c.record.line("%s is back", m.name)
		}
		time.Sleep(pause)
	}
	close(stop)
	senders.Wait()
	most, end := a.most()
	limit := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack
	c.record.result("%d requests sent, %d run; at most %d in %s, until %.3f s; the rule allows %.0f",
		len(a.sent), len(a.ran), most, quotaWindow, end.Sub(c.record.began).Seconds(), limit)
	if len(a.ran) < tenantRate {
		return notRun, fmt.Errorf("too few requests ran")
	}
	if float64(most) > limit {
		c.record.result("BROKEN: QUOTA")
		return broken, nil
	}
	c.record.result("HELD")
	return held, nil
}

func (a *arrivals) send(c *cluster, client *http.Client, m *machine, host, key string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	req, err := http.NewRequest(http.MethodGet, "http://"+m.at(portOutbound)+"/plan/1", nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Heathercroft-Attempt-Id", id)
	req.Header.Set("Heathercroft-Remaining-Time-Ms", "1200")
	req.Header.Set("Heathercroft-Key", key)
	a.mu.Lock()
	a.sent[id] = time.Now()
	a.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		c.record.line("%s sent to %s has no answer: %v", id, m.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.record.line("%s sent to %s answered 200", id, m.name)
	}
}
