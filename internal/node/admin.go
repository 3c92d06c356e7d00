package node

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/query"
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
	if reason := invalidTarget(t); reason != "" {
		badAnnouncements.Add(1)
		http.Error(w, "announcement: "+reason, http.StatusBadRequest)
		return
	}
	n.loop.post(core.TargetAnnounced{Target: t})
	w.WriteHeader(http.StatusNoContent)
}

func invalidTarget(t mesh.Target) string {
	switch {
	case t.Service == "" || t.Version == "":
		return "service and version are required"
	case !t.Address.IsValid():
		return "address must be an IP address and port"
	case t.Slots <= 0:
		return "slots must be at least 1"
	case t.State != mesh.TargetServing && t.State != mesh.TargetLeaving:
		return "state must be serving or leaving"
	default:
		return ""
	}
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
	w.Header().Set("Content-Type", "application/json")
	if !a.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(a)
}
