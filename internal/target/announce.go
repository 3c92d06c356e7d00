package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// announceInterval is how often a target announces itself. Its node considers it
// gone after 3 s without an announcement.
const announceInterval = time.Second

// announcePath is where a node takes announcements.
const announcePath = "/heathercroft/v1/announce"

// Announce sends the target's state to its node every announceInterval until ctx ends.
func (s *Server) Announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := s.announceOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			s.logger.Warn("announcement failed", "event", "announce_failed", "error", err.Error())
		}
		if err == nil && failing {
			s.logger.Info("announcements succeed again", "event", "announce_recovered")
		}
		failing = err != nil
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announcement returns what the target announces.
func (s *Server) Announcement() mesh.Target {
	return mesh.Target{
		Service: s.settings.Service, Version: s.settings.Version, Address: s.address,
		Slots: s.settings.Slots, Connections: s.settings.Connections, State: s.gate.state(), StartedUnixMS: s.started.UnixMilli(),
	}
}

// announceOnce sends one announcement at a time, so that an older state cannot
// arrive after a newer one.
func (s *Server) announceOnce(ctx context.Context) error {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	body, err := json.Marshal(s.Announcement())
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	target := strings.TrimRight(s.settings.AnnounceURL, "/") + announcePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode/100 != 2 {
		return errors.Newf("announce: node answered %s", res.Status)
	}
	return nil
}
