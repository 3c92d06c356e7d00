package directory

import (
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Limits of what nodes and targets announce, besides those of mesh.
const (
	// MaxClockLead is how far the clock of another machine may be ahead. A process that starts
	// later must be able to exceed the start of an earlier one.
	MaxClockLead = 24 * time.Hour
	// MaxColdTime limits the cold start of a target.
	MaxColdTime = time.Hour
	// maxLinkMbps limits the bandwidth of a link in Mbit/s.
	maxLinkMbps = 1e6
)

// Validate reports what makes an announcement one that no node writes, as of a Unix time in
// milliseconds.
func (a Announcement) Validate(unixMS int64) error {
	switch {
	case !validName(string(a.Node)):
		return errors.New("the name of the node is missing or too long")
	case !validName(string(a.Zone)):
		return errors.New("the availability zone is missing or too long")
	case !usable(a.RPCAddress) || !usable(a.CallAddress):
		return errors.Newf("%q or %q is no IP address with a port", a.RPCAddress, a.CallAddress)
	case !ValidStart(a.StartUnixMS, unixMS):
		return errors.Newf("start = %d is out of range", a.StartUnixMS)
	case !(a.LinkMbps >= 0 && a.LinkMbps <= maxLinkMbps):
		return errors.Newf("link_mbps = %g is out of range", a.LinkMbps)
	case a.Target != nil:
		if err := a.Target.validate(unixMS); err != nil {
			return errors.Wrap(err, "target")
		}
	}
	return ValidateDepartures(a.Departed, unixMS)
}

func (t Target) validate(unixMS int64) error {
	switch {
	case !validName(t.ID) || !validName(t.Service):
		return errors.New("its id or service is missing or too long")
	case len(t.Version) > mesh.MaxNameBytes:
		return errors.New("its version is too long")
	case t.Slots <= 0 || t.Slots > mesh.MaxSlots:
		return errors.Newf("slots = %d is out of range", t.Slots)
	case !ValidStart(t.StartUnixMS, unixMS):
		return errors.Newf("start = %d is out of range", t.StartUnixMS)
	case t.ColdUntilUnixMS < 0 || t.ColdUntilUnixMS > latest(unixMS, MaxClockLead+MaxColdTime):
		return errors.Newf("cold_until = %d is out of range", t.ColdUntilUnixMS)
	default:
		return nil
	}
}

// ValidStart reports whether a process may have started at a Unix time in milliseconds, by the
// clock of another machine.
func ValidStart(startUnixMS, unixMS int64) bool {
	return startUnixMS >= 0 && startUnixMS <= latest(unixMS, MaxClockLead)
}

func latest(unixMS int64, lead time.Duration) int64 {
	return min(unixMS, math.MaxInt64-lead.Milliseconds()) + lead.Milliseconds()
}

func validName(s string) bool { return s != "" && len(s) <= mesh.MaxNameBytes }

// usable reports whether a connection to the address is possible.
func usable(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }
