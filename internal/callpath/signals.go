package callpath

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"heathercroft.example/heathercroft/internal/signals"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/routing"
)

// targetSignals is what a process of a target said in a response.
type targetSignals struct {
	directory.Signals
	StartedUnixMS int64 `json:"started,omitempty"`
}

// readSignals applies the signals in a response of the local target to a request that was
// sent at a time. They are meant for nodes and are removed from the response.
func (n *Node) readSignals(c *call, a *attemptResult, target mesh.Target, sentAt time.Duration) {
	s, err := signals.Headers{RateLimit: HeaderRateLimit, Leaving: HeaderLeaving}.Read(a.resp.Header)
	delete(a.resp.Header, HeaderRateLimit)
	delete(a.resp.Header, HeaderLeaving)
	if err != nil {
		n.metrics.malformedSignals.Add(1)
		n.deps.Logger.Warn("malformed signal of the target", "event", "target_signal_malformed", "request_id", c.id, "error", err.Error())
		if !s.Limited {
			s.RateLimit, s.Limited = n.limiter.limit()
		}
	}
	n.limiter.signal(processOf(target), s, sentAt)
	if s.Leaving && n.leftTarget.Swap(&target) == nil {
		n.deps.Logger.Info("the target says that it leaves", "event", "target_leaving_signal", "request_id", c.id)
	}
	if s.Leaving && n.deps.TargetLeaving != nil {
		n.deps.TargetLeaving(target)
	}
	a.signals = targetSignals{s, target.StartedUnixMS}
}

// hasLeft reports whether a process of the local target said that it leaves.
func (n *Node) hasLeft(t mesh.Target) bool {
	left := n.leftTarget.Load()
	return left != nil && processOf(*left) == processOf(t)
}

// writeSignals adds the signals to a response to another node.
func writeSignals(h http.Header, s targetSignals) {
	if s.Signals == (directory.Signals{}) {
		return
	}
	text, err := json.Marshal(s)
	if err != nil {
		panic("signals are always encodable: " + err.Error())
	}
	h[HeaderSignals] = []string{string(text)}
}

// recordSignals stores the signals in a response of a target, also after a restart of the
// node beside it.
func (n *Node) recordSignals(e *routing.Endpoint, a *attemptResult) {
	if a.resp == nil || a.outcome != retry.ResponseReceived && a.outcome != retry.RefusedByTarget {
		return
	}
	if text := a.resp.Header.Get(HeaderSignals); text != "" {
		delete(a.resp.Header, HeaderSignals)
		if err := json.Unmarshal([]byte(text), &a.signals); err != nil {
			n.metrics.malformedSignals.Add(1)
			n.deps.Logger.Warn("malformed signals of a node", "event", "target_signal_malformed", "node", string(e.Node), "error", err.Error())
			return
		}
	} else if e.Node != n.deps.Node {
		a.signals.StartedUnixMS = e.StartedUnixMS
	}
	e.RecordSignals(a.signals.Signals, a.signals.StartedUnixMS)
}

// adoptKnownLimit applies the limit that the sending node knows.
func (n *Node) adoptKnownLimit(c *call) {
	if c.target == "" {
		return
	}
	if limit, err := strconv.ParseFloat(c.req.Header.Get(HeaderKnownLimit), 64); err == nil && limit >= 0 {
		n.limiter.adoptLimit(limit)
	}
}

// knownLimitHeader sets the limit of the target that this node knows.
func knownLimitHeader(h http.Header, e *routing.Endpoint) {
	if limit, ok := e.KnownLimit(); ok {
		h[HeaderKnownLimit] = []string{strconv.FormatFloat(limit, 'g', -1, 64)}
	}
}
