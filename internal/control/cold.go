package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

const (
	// coldTolerance is the difference of two cold times that is not announced. Heartbeats vary by
	// less.
	coldTolerance = 500 * time.Millisecond
	// presumedHeartbeats is the number of heartbeat intervals for which a target is presumed cold,
	// in addition to its cold time. A target without a heartbeat for as long is not used.
	presumedHeartbeats = 4
	// closingTrust is the time for which closed connections are no sign of a restart once the same
	// process has gone on after such a sign. Some targets close connections soon after their use.
	closingTrust = time.Minute
)

// closedConnections is what the node knows of targets that close connections soon after their use.
type closedConnections struct {
	// suspected is the process that may have been replaced for this reason only.
	suspected directory.Process
	// refuted is the last process that went on after such a sign, at refutedAt.
	refuted   directory.Process
	refutedAt time.Duration
}

// handleClosedConnections presumes the local target cold unless it is known to close connections.
func (c *Control) handleClosedConnections(t Time) {
	if c.self.Target == nil {
		return
	}
	p := c.self.Target.Process()
	if c.local.PresumedRestarted() || c.closed.refuted == p && t.Now-c.closed.refutedAt < closingTrust {
		return
	}
	c.closed.suspected = p
	c.presumeCold(t, true, "connections-closed")
}

// checkSuspected records that the process of the local target has gone on if a heartbeat has ended
// the presumption that it was replaced.
func (c *Control) checkSuspected(t Time) {
	if c.closed.suspected == (directory.Process{}) || c.local.PresumedRestarted() {
		return
	}
	if own := c.local.Target(t.Now, t.UnixMS); own != nil && own.Process() == c.closed.suspected {
		c.closed.refuted, c.closed.refutedAt = c.closed.suspected, t.Now
		c.log("target_closes_connections", "target", own.ID)
	}
	c.closed.suspected = directory.Process{}
}

// returnedTarget is a target beside another node in a zone whose evacuation has ended. It is presumed
// cold until its node announces more, or until a time.
type returnedTarget struct {
	startUnixMS int64
	sequence    uint64
	until       time.Duration
}

// service returns the settings of a service in the configuration in force.
func (c *Control) service(name string) published.Service {
	if c.config == nil {
		return published.Service{}
	}
	return c.config.Services[name]
}

// presumeCold records that the local target is presumed cold, if that limits its requests.
// restarted is set if its process may have been replaced.
func (c *Control) presumeCold(t Time, restarted bool, reason string) {
	s := c.service(c.local.Service)
	if s.ColdRate <= 0 {
		return
	}
	before := c.local.ColdUntil(t.Now)
	c.local.PresumeCold(restarted, t.Now+presumedHeartbeats*c.local.Interval+s.ColdTime)
	if c.local.ColdUntil(t.Now) == before {
		return
	}
	c.log("target_presumed_cold", "target", targetID(c.self), "reason", reason, "per_s", s.ColdRate)
	c.refreshAnnouncement(t)
}

// returnTargets presumes the targets of a zone cold whose evacuation has ended.
func (c *Control) returnTargets(t Time, zone mesh.AvailabilityZone) {
	for _, a := range c.dir.All() {
		if s := c.announcedService(a); a.Zone == zone && s.ColdRate > 0 {
			if c.returned == nil {
				c.returned = map[mesh.NodeID]returnedTarget{}
			}
			c.returned[a.Node] = returnedTarget{a.StartUnixMS, a.Sequence, t.Now + s.ColdTime}
		}
	}
	if zone != c.self.Zone {
		return
	}
	c.presumeCold(t, false, "zone-returned")
	if s := c.service(c.local.Service); s.ColdRate > 0 && s.HealthPath != "" && c.self.Target != nil {
		c.emit(ProbeHealth{Target: c.self.Target.Process(), Path: s.HealthPath})
	}
}

func (c *Control) announcedService(a directory.Announcement) published.Service {
	if a.Target == nil {
		return published.Service{}
	}
	return c.service(a.Target.Service)
}

// coldUntil returns the time until which the target of another node is cold or presumed so.
func (c *Control) coldUntil(t Time, a directory.Announcement) time.Duration {
	until := time.Duration(0)
	if a.Target.ColdUntilUnixMS > 0 {
		until = t.Now + time.Duration(a.Target.ColdUntilUnixMS-t.UnixMS)*time.Millisecond
	}
	r, ok := c.returned[a.Node]
	switch {
	case !ok:
	case a.StartUnixMS != r.startUnixMS || a.Sequence != r.sequence:
		delete(c.returned, a.Node)
	default:
		until = max(until, r.until)
	}
	return until
}

// coldRate returns the requests per second that the target of a node gets because it is cold or was
// until recently, 0 without a limit.
func (c *Control) coldRate(t Time, a directory.Announcement) float64 {
	s := c.announcedService(a)
	if s.ColdRate <= 0 {
		return 0
	}
	until := c.coldUntil(t, a)
	if until == 0 {
		return 0
	}
	rate, _ := admission.ColdRate(s.ColdRate, until, t.Now)
	return rate
}

// coldRateUnknown reports whether the local target is cold and the node has no configuration yet,
// which tells how many requests the target takes meanwhile.
func (c *Control) coldRateUnknown(t Time) bool {
	return c.config == nil && t.Now < c.local.ColdUntil(t.Now)
}

// coldChanged reports whether other nodes have to know that the cold time of the local target
// changed.
func (c *Control) coldChanged(t Time, target *directory.Target) bool {
	if target == nil || c.self.Target == nil || c.service(target.Service).ColdRate <= 0 {
		return false
	}
	before, after := max(c.self.Target.ColdUntilUnixMS, t.UnixMS), max(target.ColdUntilUnixMS, t.UnixMS)
	tolerance := coldTolerance.Milliseconds()
	return after-before > tolerance || before-after > tolerance
}

// logCold logs when the local target becomes cold and when it is warm again.
func (c *Control) logCold(t Time) {
	s := c.service(c.local.Service)
	until := c.local.ColdUntil(t.Now)
	cold := s.ColdRate > 0 && c.self.Target != nil && t.Now < until
	if cold == c.coldLogged {
		return
	}
	c.coldLogged = cold
	if cold {
		c.log("target_cold", "target", targetID(c.self), "left_ms", (until - t.Now).Milliseconds(), "per_s", s.ColdRate)
		return
	}
	c.log("target_warm", "target", targetID(c.self))
}

// handleHealth processes a health response of the local target.
func (c *Control) handleHealth(t Time, e TargetHealth) {
	if e.Healthy {
		c.handleReturn(t, e.Target)
	}
	if !e.ColdKnown {
		return
	}
	if c.local.HandleHealth(e.Target, e.ColdRemaining, t.Now) {
		c.log("target_health", "target", e.Target.ID, "cold_left_ms", e.ColdRemaining.Milliseconds())
		c.refreshAnnouncement(t)
	}
}
