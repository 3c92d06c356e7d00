package settings

import (
	"fmt"
	"time"
)

// Bounds shared by several keys. The lower ones keep a mistyped unit, such as
// "5ms" for "5s", from turning into a storm of requests.
const (
	minInterval = Duration(50 * time.Millisecond)
	maxInterval = Duration(10 * time.Minute)
	minTimeout  = Duration(10 * time.Millisecond)
	maxTimeout  = Duration(5 * time.Minute)
)

func (n NodeIdentity) problems() []*Problem {
	return []*Problem{
		required("node.id", n.ID != ""), required("node.zone", n.Zone != ""), required("node.region", n.Region != ""),
	}
}

func (l NodeListen) problems() []*Problem {
	listeners := []struct {
		key     string
		address Address
	}{
		{"listen.caller", l.Caller},
		{"listen.rpc", l.RPC},
		{"listen.call", l.Call},
		{"listen.admin", l.Admin},
		{"listen.outbound", l.Outbound},
	}
	var out []*Problem
	for i, a := range listeners {
		out = append(out, required(a.key, a.address.IsValid()))
		for _, b := range listeners[:i] {
			taken := a.address.IsValid() && a.address == b.address && a.address.Port() != 0
			out = append(out, check(a.key, !taken, "%s is used by %q too", a.address, b.key))
		}
	}
	// Other nodes connect to these two as they are announced.
	for _, a := range listeners[1:3] {
		out = append(out, check(a.key, !a.address.IsValid() || !a.address.Addr().IsUnspecified(),
			"%s is announced to other nodes, so it must be an address of this instance", a.address))
	}
	return out
}

func (p Platform) problems() []*Problem {
	return []*Problem{
		required("platform.url", p.URL.Address.IsValid()),
		between("platform.append_timeout", p.AppendTimeout, minTimeout, maxTimeout),
		between("platform.read_wait", p.ReadWait, 0, maxTimeout),
		between("platform.read_timeout", p.ReadTimeout, minTimeout, maxTimeout),
		between("platform.retry_min", p.RetryMin, minTimeout, maxInterval),
		between("platform.retry_max", p.RetryMax, p.RetryMin, maxInterval),
	}
}

func (p Peers) problems(own Address) []*Problem {
	var out []*Problem
	for i, s := range p.Seeds {
		out = append(out, check("peers.seeds", s.Port() != 0 && s.Addr().IsValid() && !s.Addr().IsUnspecified(),
			"seed %d, %s, is no address to connect to", i+1, s))
		out = append(out, check("peers.seeds", s != own, "seed %d, %s, is this node itself", i+1, s))
	}
	return out
}

func (l Limits) problems() []*Problem {
	return []*Problem{
		between("limits.queue_wait", l.QueueWait, 0, Duration(10*time.Second)),
		between("limits.connections", l.Connections, 1, 1_000_000),
		between("limits.header_size", l.HeaderSize, 4*KiB, MiB),
		between("limits.body_size", l.BodySize, 0, 1024*GiB),
		between("limits.upload_size", l.UploadSize, 1, GiB),
		between("limits.upload_share", l.UploadShare, 0.01, 1),
		between("limits.snapshot_transfers", l.SnapshotTransfers, 1, 1000),
	}
}

func (r Retry) problems() []*Problem {
	return []*Problem{
		between("retry.share", r.Share, 0, 1),
		between("retry.window", r.Window, Duration(time.Second), maxInterval),
		between("retry.min_per_second", r.MinPerSecond, 0, 1000),
		between("retry.max_per_call", r.MaxPerCall, 0, 10),
		between("retry.min_deadline_left", r.MinDeadlineLeft, 0, Duration(10*time.Second)),
	}
}

func (k Keys) problems() []*Problem {
	return []*Problem{
		between("keys.lease", k.Lease, Duration(time.Second), Duration(time.Hour)),
		between("keys.margin", k.Margin, minInterval, Duration(time.Hour)),
		between("keys.horizon", k.Horizon, Duration(time.Second), Duration(24*time.Hour)),
		between("keys.body_size", k.BodySize, 0, 16*MiB),
	}
}

func (d Distribution) problems() []*Problem {
	return []*Problem{
		between("distribution.fan_out", d.FanOut, 1, 64),
		between("distribution.pull_interval", d.PullInterval, minInterval, maxInterval),
		between("distribution.reconnect_min", d.ReconnectMin, minTimeout, maxInterval),
		between("distribution.reconnect_max", d.ReconnectMax, d.ReconnectMin, maxInterval),
	}
}

func (m Membership) problems() []*Problem {
	out := []*Problem{
		between("membership.probe_interval", m.ProbeInterval, minInterval, maxInterval),
		between("membership.probe_timeout", m.ProbeTimeout, minTimeout, m.ProbeInterval),
		between("membership.indirect_probes", m.IndirectProbes, 0, 16),
		between("membership.damping_changes", m.DampingChanges, 1, 1000),
		between("membership.announcement_kept", m.AnnouncementKept, Duration(time.Minute), Duration(24*time.Hour)),
	}
	for _, d := range []struct {
		key   string
		value Duration
	}{
		{"suspicion", m.Suspicion},
		{"full_exchange", m.FullExchange},
		{"zone_exchange", m.ZoneExchange},
		{"target_silence", m.TargetSilence},
		{"damping_window", m.DampingWindow},
		{"damping_duration", m.DampingDuration},
	} {
		out = append(out, between(fmt.Sprintf("membership.%s", d.key), d.value, minInterval, maxInterval))
	}
	return out
}
