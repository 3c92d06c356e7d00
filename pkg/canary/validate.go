package canary

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of orders and moves. Entries of other writers may hold anything that their encoding
// allows.
const (
	// maxNameBytes limits the names of services and versions.
	maxNameBytes = 256
	// MaxDuration limits the time that an order gives for a move.
	MaxDuration = 7 * 24 * time.Hour
	// maxClockLead is how far the clock of the node that recorded a move may be ahead.
	maxClockLead = 24 * time.Hour
	// maxRevision limits the revision of a move, which has a few phases. It leaves room for
	// moves that are recorded again.
	maxRevision = 1 << 16
)

// Validate reports what makes an order one that no operator gives.
func (o Order) Validate() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameBytes:
		return errors.New("the service is missing or too long")
	case o.Version == "" || len(o.Version) > maxNameBytes:
		return errors.New("the version is missing or too long")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Newf("a duration of %s is out of range", o.Duration)
	case o.Number == 0:
		return errors.New("the number is missing")
	default:
		return nil
	}
}

// Validate reports what makes the state of a move one that no node records, as of a Unix time in
// milliseconds.
func (m Move) Validate(unixMS int64) error {
	if err := m.Order.Validate(); err != nil {
		return err
	}
	switch m.Phase {
	case Observing, Shifted, Completed, Reverted:
	default:
		return errors.Newf("unknown phase %q", string(m.Phase))
	}
	switch {
	case m.Revision < 1 || m.Revision > maxRevision:
		return errors.Newf("revision %d is out of range", m.Revision)
	case m.StartUnixMS < 0 || m.StartUnixMS-maxClockLead.Milliseconds() > unixMS:
		return errors.Newf("started = %d is out of range", m.StartUnixMS)
	case m.DeadlineUnixMS < m.StartUnixMS || m.DeadlineUnixMS-m.StartUnixMS > MaxDuration.Milliseconds():
		return errors.Newf("deadline = %d is out of range", m.DeadlineUnixMS)
	case len(m.Earlier) > maxEarlierOrders:
		return errors.Newf("%d earlier orders, limit %d", len(m.Earlier), maxEarlierOrders)
	default:
		return nil
	}
}
