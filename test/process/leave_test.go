package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/target"
	"heathercroft.example/heathercroft/internal/testbed"
)

// visit is one answered call.
type visit struct {
	start  time.Time
	target string
}

// failure is one call without a whole answer of a target.
type failure struct {
	start  time.Time
	reason string
}

// callers sends reads through the given nodes until stopped.
type callers struct {
	mu     sync.Mutex
	visits []visit
	failed []failure
	stop   chan struct{}
	group  sync.WaitGroup
}

// listenerClosing is the time before the end of a process in which it closes its listeners.
const listenerClosing = 200 * time.Millisecond

// callersPause is the time between two calls of one caller.
const callersPause = 15 * time.Millisecond

func startCallers(via []*testbed.Member, path string) *callers {
	c := &callers{stop: make(chan struct{})}
	for i, member := range via {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			time.Sleep(time.Duration(i) * time.Millisecond)
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			for {
				select {
				case <-c.stop:
					client.CloseIdleConnections()
					return
				case <-time.After(callersPause):
				}
				c.call(client, member, path)
			}
		}()
	}
	return c
}

func (c *callers) call(client *http.Client, member *testbed.Member, path string) {
	start := time.Now()
	resp, err := client.Get(member.CallerURL() + path)
	var a target.Answer
	status := 0
	if err == nil {
		status = resp.StatusCode
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || status != http.StatusOK {
		reason := ""
		if resp != nil {
			reason = resp.Header.Get("Heathercroft-Reason")
		}
		c.failed = append(c.failed, failure{start, fmt.Sprintf("through %s: status %d %s %v", member.Name, status, reason, err)})
		return
	}
	c.visits = append(c.visits, visit{start, a.Target})
}

// end stops the callers.
func (c *callers) end() {
	close(c.stop)
	c.group.Wait()
}

// lateVisits counts the calls that began after a time and were answered by a target.
func lateVisits(visits []visit, name string, after time.Time) int {
	n := 0
	for _, v := range visits {
		if v.target == name && v.start.After(after) {
			n++
		}
	}
	return n
}

// TestLateVisitsAreFound guards against a check of leaving targets that cannot fail.
func TestLateVisitsAreFound(t *testing.T) {
	now := time.Now()
	visits := []visit{{now, "a"}, {now.Add(2 * time.Second), "a"}, {now.Add(2 * time.Second), "b"}}
	require.Equal(t, 1, lateVisits(visits, "a", now.Add(time.Second)))
	require.Zero(t, lateVisits(visits, "a", now.Add(3*time.Second)))
}

// slowUpload sends a body over a time and returns the target that got all of it.
func slowUpload(at *testbed.Member, length time.Duration) (string, error) {
	reader, writer := io.Pipe()
	chunk := bytes.Repeat([]byte("photo."), 2000)
	digest := xxhash.New()
	go func() {
		for begun := time.Now(); time.Since(begun) < length; time.Sleep(100 * time.Millisecond) {
			_, _ = digest.Write(chunk)
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	resp, err := http.Post(at.CallerURL()+"/courier/photo", "image/jpeg", reader)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", fmt.Errorf("status %d, read answer: %w", resp.StatusCode, err)
	}
	var a target.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return "", fmt.Errorf("status %d, not the answer of a target: %w: %s", resp.StatusCode, err, data)
	}
	if resp.StatusCode != http.StatusOK || a.ReceivedHash != fmt.Sprintf("%016x", digest.Sum64()) {
		return a.Target, fmt.Errorf("status %d, received %d bytes with hash %s", resp.StatusCode, a.ReceivedBytes, a.ReceivedHash)
	}
	return a.Target, nil
}

// TestLeavingTargetAndNode guards against requests that a planned stop cuts, and
// against new work for a leaving target (G8, G9), while the platform is out and
// the target's own reports claim that it is healthy and idle.
func TestLeavingTargetAndNode(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		stop func(*testbed.Member) *testbed.Process
	}{
		{"target", func(m *testbed.Member) *testbed.Process { return m.Target }},
		{"node", func(m *testbed.Member) *testbed.Process { return m.Node }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := newFleet(t, "")
			m.add("courier", "v1", 2, 3)
			m.configure("courier")
			victim := m.Members()[1]
			others := m.others(victim)
			m.fault(victim, map[string]any{"health": "ok", "load_factor": 0.0, "report_lag_ms": 5000})
			m.platform(map[string]any{"outage": "unavailable"})
			run := startCallers(others, "/courier")
			through := startCallers([]*testbed.Member{victim, victim, victim}, "/courier")
			type uploaded struct {
				target string
				err    error
			}
			uploads := make(chan uploaded, 12)
			for i := range cap(uploads) {
				go func() {
					// Some enter the mesh through the node that leaves.
					to, err := slowUpload([]*testbed.Member{others[0], others[1], victim}[i%3], 6*time.Second)
					uploads <- uploaded{to, err}
				}()
			}
			time.Sleep(time.Second)
			leaving := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- c.stop(victim).Terminate(generous) }()
			atVictim := 0
			for range cap(uploads) {
				u := <-uploads
				require.NoError(t, u.err, "upload to %s", u.target)
				if u.target == victim.Name {
					atVictim++
				}
			}
			require.NotZero(t, atVictim, "no upload was at the leaving target")
			require.NoError(t, <-stopped)
			ended := time.Now()
			t.Logf("%d uploads at the leaving target, stopped after %s", atVictim, time.Since(leaving).Round(time.Millisecond))
			time.Sleep(time.Second)
			run.end()
			through.end()
			require.Empty(t, run.failed)
			require.NotZero(t, len(through.visits))
			for _, f := range through.failed {
				// A connection that is made in the instant at which the stopping node closes
				// its listener is closed by the kernel; no request on it has begun.
				if f.start.Before(ended.Add(-listenerClosing)) || f.start.After(ended) {
					require.Regexp(t, "status 503 draining|connect: connection refused", f.reason)
				}
			}
			require.NotZero(t, len(run.visits))
			require.Zero(t, lateVisits(run.visits, victim.Name, leaving.Add(leavingLimit)))
			t.Logf("%d calls, %d of them at the leaving target after it was told", len(run.visits), lateVisits(run.visits, victim.Name, leaving))
		})
	}
}
