package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// oldProtocol plays a worker in trouble whose responses are no responses of HTTP/1.1: the head names
// HTTP/1.0, and the body comes in chunks.
func oldProtocol(c *cluster, trouble bool) (int, error) {
	const service, host, requests = "library", "shop.example", 200
	c.put("config", map[string]any{"version": "00000001", "resources": []any{
		resource("services", service, map[string]any{"health_path": "/health", "max_connections": 130}),
		resource("routes", "r-lesson", map[string]any{
			"host": host, "path_prefix": "/lesson/", "kind": "safe", "service": service,
			"timeout_ms": 1200, "target_latency_ms": 600, "priority": 2, "max_attempts": 2,
		}),
		limits(),
	}})
	// Two of three workers spoil one in ten of their answers for 5.5 s.
	const spoilTime = 5500 * time.Millisecond
	var runs, spoilUntil atomic.Int64
	answer := func(w *worker, r *http.Request, _ []byte) (string, bool) {
		body := "the lesson for " + r.Header.Get("Heathercroft-Attempt-Id") + "\n"
		if trouble && w.id != "i-2" && time.Now().UnixNano() < spoilUntil.Load() && runs.Add(1)%10 == 0 {
			w.cluster.record.line("%s answers with bytes that are no response of HTTP/1.1", w.id)
			return fmt.Sprintf("HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", w.signed(r), len(body), body), true
		}
		return plain(http.StatusOK, w.signed(r), body), false
	}
	for i := range 3 {
		if _, err := c.add(&worker{id: fmt.Sprintf("i-%d", i), service: service, slots: 6, work: 10 * time.Millisecond, answer: answer}); err != nil {
			return notRun, err
		}
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	wrong, whole, other := 0, 0, 0
	spoilUntil.Store(time.Now().Add(spoilTime).UnixNano())
	for i := range requests {
		id := fmt.Sprintf("%016x", rand.Uint64())
		m := c.machines[i%len(c.machines)]
		req, err := http.NewRequest(http.MethodGet, "http://"+m.at(portOutbound)+"/lesson/1", nil)
		if err != nil {
			return notRun, err
		}
		req.Host = host
		req.Header.Set("Heathercroft-Attempt-Id", id)
		req.Header.Set("Heathercroft-Remaining-Time-Ms", "2500")
		c.record.line("%s sent to %s", id, m.name)
		resp, err := client.Do(req)
		if err != nil {
			c.record.line("%s has no answer: %v", id, err)
			other++
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		signature := resp.Header.Get("Heathercroft-Response-Signature")
		c.record.line("%s answered %d, signature %q, complete %v, body %q", id, resp.StatusCode, signature, err == nil, body)
		switch {
		case err != nil || resp.StatusCode != http.StatusOK:
			other++
		case signature != "" && strings.TrimSpace(string(body)) == "the lesson for "+id:
			whole++
		default:
			wrong++
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.record.result("%d requests: %d with the worker's body, %d successes with another body, %d failed", requests, whole, wrong, other)
	if whole == 0 {
		return notRun, fmt.Errorf("no request was served")
	}
	if wrong > 0 {
		c.record.result("BROKEN: MIXED")
		return broken, nil
	}
	c.record.result("HELD")
	return held, nil
}
