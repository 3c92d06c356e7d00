package settings

import (
	"time"
)

// Bounds shared by several keys. The lower bounds keep a mistyped unit, such as
// "5ms" for "5s", from causing a flood of requests.
const (
	minInterval = Duration(50 * time.Millisecond)
	maxInterval = Duration(10 * time.Minute)
	minTimeout  = Duration(10 * time.Millisecond)
	maxTimeout  = Duration(5 * time.Minute)
	// maxRetention is ten years, longer than any log retains records.
	maxRetention = Duration(10 * 365 * 24 * time.Hour)
	// clockDriftDivisor sets the minimum lease margin to 1/40 of the lease (2.5 %):
	// two clocks may drift by 1 % each, and the rest is reserve.
	clockDriftDivisor = 40
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
			out = append(out, checkRule(a.key, !taken, "%s is used by %q too", a.address, b.key))
		}
	}
	// listen.rpc and listen.call are announced to other nodes, which connect to them.
	for _, a := range listeners[1:3] {
		out = append(out, checkRule(a.key, !a.address.IsValid() || !a.address.Addr().IsUnspecified(),
			"%s is announced to other nodes, so it must be an address of this instance", a.address))
	}
	return out
}

func (p Platform) problems() []*Problem {
	return []*Problem{
		required("platform.url", p.URL.Address.IsValid()),
		inRange("platform.append_timeout", p.AppendTimeout, minTimeout, maxTimeout),
		inRange("platform.read_timeout", p.ReadTimeout, minTimeout, maxTimeout),
		inRange("platform.retention", p.Retention, 0, maxRetention),
	}
}

func (p Peers) problems(own Address) []*Problem {
	var out []*Problem
	for i, s := range p.Seeds {
		out = append(out, checkRule("peers.seeds", s.Port() != 0 && s.Addr().IsValid() && !s.Addr().IsUnspecified(),
			"seed %d, %s, is no address to connect to", i+1, s))
		out = append(out, checkRule("peers.seeds", s != own, "seed %d, %s, is this node itself", i+1, s))
	}
	return out
}

func (l Limits) problems() []*Problem {
	return []*Problem{
		inRange("limits.queue_wait", l.QueueWait, 0, Duration(10*time.Second)),
		inRange("limits.connections", l.MaxConnections, 1, 1_000_000),
		inRange("limits.upload_size", l.UploadSize, 1, GiB),
	}
}

func (k Keys) problems() []*Problem {
	return []*Problem{
		inRange("keys.lease", k.Lease, Duration(time.Second), Duration(time.Hour)),
		inRange("keys.margin", k.LeaseMargin, k.Lease/clockDriftDivisor, Duration(time.Hour)),
		inRange("keys.horizon", k.RetryHorizon, Duration(time.Second), Duration(24*time.Hour)),
	}
}
