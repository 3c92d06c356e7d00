package mesh

import "github.com/cockroachdb/errors"

// Limits of what a target announces. An announcement of another writer may hold anything that its
// encoding allows.
const (
	// MaxNameBytes limits ids and names.
	MaxNameBytes = 256
	// MaxSlots limits the slots and the connections of a target.
	MaxSlots = 1 << 16
	// maxUnixMS is a Unix time in milliseconds that no clock reaches.
	maxUnixMS = 1 << 50
)

// Validate reports what makes an announcement one that no target sends.
func (t Target) Validate() error {
	switch {
	case t.Service == "" || t.Version == "":
		return errors.New("service and version are required")
	case len(t.Service) > MaxNameBytes || len(t.Version) > MaxNameBytes:
		return errors.Newf("service and version are limited to %d bytes", MaxNameBytes)
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return errors.New("address must be an IP address and port")
	case t.Slots <= 0 || t.Slots > MaxSlots:
		return errors.Newf("slots must be 1 to %d", MaxSlots)
	case t.Connections < 0 || t.Connections > MaxSlots:
		return errors.Newf("connections must be 0 to %d", MaxSlots)
	case t.StartedUnixMS < 0 || t.StartedUnixMS > maxUnixMS:
		return errors.New("started must be 0 or a Unix time in milliseconds")
	case t.State != TargetServing && t.State != TargetLeaving:
		return errors.New("state must be serving or leaving")
	default:
		return nil
	}
}
