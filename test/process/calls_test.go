package process_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/target"
	"heathercroft.example/heathercroft/internal/testbed"
)

// attempt is one sending of a request and what came back.
type attempt struct {
	key, id  string
	node     string
	status   int
	outcome  string
	reason   string
	replayed bool
	body     string
	err      error
}

var ids atomic.Int64

var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends one request with its own request id. An empty key or a deadline of 0
// sends none.
func post(member *testbed.Member, path, key string, deadline time.Duration, header http.Header) attempt {
	a := attempt{key: key, id: fmt.Sprintf("attempt-%d", ids.Add(1)), node: member.Name}
	req, err := http.NewRequest(http.MethodPost, member.CallerURL()+path, strings.NewReader("umbrella"))
	if err != nil {
		a.err = err
		return a
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(target.HeaderRequestID, a.id)
	if deadline > 0 {
		req.Header.Set(target.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	}
	if key != "" {
		req.Header.Set(target.HeaderIdempotencyKey, key)
	}
	// A node that is paused answers nothing, so the caller has its own bound.
	client := *caller
	client.Timeout = time.Minute
	if deadline > 0 {
		client.Timeout = deadline + time.Second
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	a.outcome, a.reason = resp.Header.Get(target.HeaderOutcome), resp.Header.Get("Heathercroft-Reason")
	a.replayed = resp.Header.Get("Heathercroft-Replayed") == "true"
	return a
}

func (a attempt) answered() bool { return a.err == nil && a.status == http.StatusOK }

// attempts collects the attempts of concurrent callers.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

func (l *attempts) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// executions counts over all targets how often each key and each request ran.
func (m *fleet) executions() (keys, requests map[string]int) {
	m.t.Helper()
	keys, requests = map[string]int{}, map[string]int{}
	for _, member := range m.Members() {
		var e target.Executions
		require.NoError(m.t, testbed.Get(member.TargetURL()+"/control/executions", &e))
		for key, n := range e.Keys {
			keys[key] += n
		}
		for id, n := range e.Requests {
			requests[id] += n
		}
	}
	return keys, requests
}

// brokenPromises returns what contradicts the guarantees: a key that ran twice,
// a request that ran although it was refused as not-run, and an answer of a key
// without an execution.
func brokenPromises(list []attempt, keys, requests map[string]int) []string {
	var broken []string
	for key, n := range keys {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for _, a := range list {
		if a.outcome == target.OutcomeNotRun && requests[a.id] > 0 {
			broken = append(broken, fmt.Sprintf("request %s (key %s, through %s) was refused as not-run (%s) and ran", a.id, a.key, a.node, a.reason))
		}
		if a.answered() && a.key != "" && keys[a.key] == 0 {
			broken = append(broken, fmt.Sprintf("key %s was answered and never ran", a.key))
		}
	}
	return broken
}

// TestBrokenPromisesAreFound guards against a check of keyed calls that cannot
// fail: it feeds a ledger with a second execution, a false not-run refusal and
// an invented answer.
func TestBrokenPromisesAreFound(t *testing.T) {
	list := []attempt{
		{key: "a", id: "1", status: http.StatusOK},
		{key: "b", id: "2", status: http.StatusServiceUnavailable, outcome: target.OutcomeNotRun},
		{key: "c", id: "3", status: http.StatusOK},
	}
	require.Empty(t, brokenPromises(list[:2], map[string]int{"a": 1}, map[string]int{"1": 1}))
	require.Len(t, brokenPromises(list, map[string]int{"a": 2, "b": 1}, map[string]int{"2": 1}), 3)
}

// summary counts attempts by result, for messages of failed checks.
func summary(list []attempt) map[string]int {
	counts := map[string]int{}
	for _, a := range list {
		switch {
		case a.err != nil:
			counts["no answer"]++
		case a.answered() && a.replayed:
			counts["replayed"]++
		case a.answered():
			counts["answered"]++
		default:
			counts[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)]++
		}
	}
	return counts
}
