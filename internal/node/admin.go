package node

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// adminHandler serves announcements of targets, operator commands and monitoring.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	b := backend{n.loop}
	commands := query.Handler(b)
	mux.HandleFunc("POST /heathercroft/v1/announce", n.handleAnnouncement)
	mux.HandleFunc(query.CommandPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go b.refreshZones(ctx)
		b.refreshRollouts(ctx)
		commands.ServeHTTP(w, r)
	})
	mux.Handle("GET /heathercroft/v1/events", timeline.Handler(n.recorder))
	mux.HandleFunc("GET /heathercroft/v1/ready", n.handleReadiness)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// handleAnnouncement processes an announcement of the local target.
func (n *Node) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var t mesh.Target
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		badAnnouncements.Add(1)
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := validateTarget(t, time.Now().UnixMilli()); err != nil {
		badAnnouncements.Add(1)
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	n.loop.post(core.TargetAnnounced{Target: t})
	w.WriteHeader(http.StatusNoContent)
}

// validateTarget reports what makes an announcement one that no target sends, as of a Unix time in
// milliseconds.
func validateTarget(t mesh.Target, unixMS int64) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if !directory.ValidStart(t.StartedUnixMS, unixMS) {
		return errors.Newf("started is more than %s ahead", directory.MaxClockLead)
	}
	return nil
}

// handleReadiness reports whether the node serves calls and, if not, the reason.
func (n *Node) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	type response struct {
		Ready    bool   `json:"ready"`
		Reason   string `json:"reason,omitempty"`
		Revision uint64 `json:"revision"`
	}
	var a response
	n.loop.query(func(c *core.Core) {
		status := c.DistributionStatus()
		a = response{Ready: status.Ready, Reason: status.Reason, Revision: uint64(c.Revision())}
	})
	if a.Ready && n.descriptors.Short() {
		// The calls on the connections that it has are served.
		a.Ready, a.Reason = false, "the node is short of file descriptors"
	}
	w.Header().Set("Content-Type", "application/json")
	if !a.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(a)
}
