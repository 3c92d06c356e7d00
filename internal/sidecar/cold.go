package sidecar

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
)

// healthTimeout limits a probe of the health path. The next heartbeat tells the same 1.5 s later.
const healthTimeout = time.Second

// probeHealth asks the local target whether it is healthy and how long it is cold.
func (n *Node) probeHealth(e control.ProbeHealth) {
	ctx, cancel := context.WithTimeout(n.ctx, healthTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: n.target.address, Path: e.Path},
		Header: http.Header{n.headers.Target: []string{e.Target.ID}},
	}
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		n.logger.Info("health_probe_failed", "target", e.Target.ID, "error", err.Error())
		return
	}
	_ = resp.Body.Close()
	result := control.TargetHealth{Target: e.Target}
	result.Healthy = resp.StatusCode == http.StatusOK && resp.Header.Get(n.headers.TargetID) == e.Target.ID
	text := strings.TrimSpace(resp.Header.Get(n.headers.ColdRemaining))
	left, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(left) || left < 0 || left > milliseconds(directory.MaxColdTime) {
		n.logger.Info("health_without_cold_time", "target", e.Target.ID, "status", resp.StatusCode, "value", text, "healthy", result.Healthy)
	} else {
		result.ColdRemaining, result.ColdKnown = fromMilliseconds(left), true
	}
	n.step(result)
}

// handleClosedConnections handles that the local target closed connections that it had used just
// before.
func (n *Node) handleClosedConnections() {
	if n.view.Load().TargetColdRate > 0 {
		n.step(control.TargetConnectionsClosed{})
	}
}
