package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// requesters send requests to the nodes of their machines.
type requesters struct {
	cluster *cluster
	client  *http.Client
	numbers atomic.Int64
	sent    sync.WaitGroup

	mu       sync.Mutex
	answers  map[string]int
	requests map[string]request
}

// request is what was known of a request when it was sent.
type request struct {
	at time.Time
	// inTouch is set if its machine was in touch.
	inTouch bool
}

// request returns what was known of a request when it was sent.
func (q *requesters) request(id string) request {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.requests[id]
}

// waitTime is how long requesters wait.
const waitTime = 2 * time.Second

func newRequesters(c *cluster) *requesters {
	return &requesters{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}, answers: map[string]int{}, requests: map[string]request{}}
}

// send sends a request at a machine without waiting for the answer, and returns its id.
func (q *requesters) send(m *machine, method, host, path, label string, body []byte) string {
	id := fmt.Sprintf("%s-%06d", label, q.numbers.Add(1))
	at := time.Now()
	q.mu.Lock()
	q.requests[id] = request{at: at, inTouch: m.inTouch(at)}
	q.mu.Unlock()
	q.cluster.record.add("sent %s at %s: %s %s, body of %d bytes", id, m.name, method, path, len(body))
	q.sent.Go(func() {
		status, note := q.do(m, method, host, path, id, body)
		q.mu.Lock()
		q.answers[label+" "+note]++
		q.mu.Unlock()
		q.cluster.record.add("answer %s at %s: %s, status %d, after %d ms", id, m.name, note, status, time.Since(at).Milliseconds())
	})
	return id
}

func (q *requesters) do(m *machine, method, host, path, id string, body []byte) (status int, note string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		return 0, "not sent"
	}
	req.Host = host
	req.Header.Set(headerID, id)
	req.Header.Set(headerTimeLeft, strconv.FormatInt(waitTime.Milliseconds(), 10))
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return resp.StatusCode, "broken off"
	case resp.StatusCode == http.StatusOK && resp.Header.Get(headerMAC) == "mac-"+id && string(text) == "done "+id+"\n":
		return resp.StatusCode, "served"
	case resp.StatusCode == http.StatusOK:
		return resp.StatusCode, "foreign"
	default:
		return resp.StatusCode, "status " + strconv.Itoa(resp.StatusCode)
	}
}

// summary reports the answers by label.
func (q *requesters) summary() map[string]int {
	q.sent.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answers
}
