package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// DepartureRetention is how long a departure is kept. Heartbeats from before it may arrive
	// late, in a partition by its duration.
	DepartureRetention = 10 * time.Minute
	// MaxDepartures is the maximum number of departures in an announcement.
	MaxDepartures = 16
)

// Departure records that a target has left: its processes that started at or before the start of
// Process get no requests anymore.
type Departure struct {
	Process
	// AtUnixMS is the Unix time in milliseconds at which the node beside the target learned it.
	AtUnixMS int64 `json:"at"`
}

// Expired reports whether the departure is no longer kept at a Unix time in milliseconds.
func (d Departure) Expired(unixMS int64) bool {
	return unixMS-d.AtUnixMS >= DepartureRetention.Milliseconds()
}

func (d Departure) validate(unixMS int64) error {
	switch {
	case !validName(d.ID):
		return errors.New("the id of a target is missing or too long")
	case d.StartUnixMS == 0 || !ValidStart(d.StartUnixMS, unixMS):
		return errors.Newf("start = %d is out of range", d.StartUnixMS)
	case !ValidStart(d.AtUnixMS, unixMS):
		return errors.Newf("at = %d is out of range", d.AtUnixMS)
	default:
		return nil
	}
}

// ValidateDepartures reports what makes a list of departures one that no node sends, as of a Unix
// time in milliseconds.
func ValidateDepartures(departed []Departure, unixMS int64) error {
	if len(departed) > MaxDepartures {
		return errors.Newf("%d departures, limit %d", len(departed), MaxDepartures)
	}
	for _, d := range departed {
		if err := d.validate(unixMS); err != nil {
			return errors.Wrap(err, "departure")
		}
	}
	return nil
}

// Covers reports whether departures include that of a process.
func Covers(departed []Departure, p Process) bool {
	return slices.ContainsFunc(departed, func(d Departure) bool { return d.ID == p.ID && p.StartUnixMS <= d.StartUnixMS })
}

// MergeDepartures returns the departures of two lists as of a Unix time in milliseconds: one for
// each target, the latest first, without expired ones, and at most MaxDepartures.
func MergeDepartures(a, b []Departure, unixMS int64) []Departure {
	latest := map[string]Departure{}
	for _, d := range slices.Concat(a, b) {
		if d.Expired(unixMS) {
			continue
		}
		known := latest[d.ID]
		d.StartUnixMS, d.AtUnixMS = max(d.StartUnixMS, known.StartUnixMS), max(d.AtUnixMS, known.AtUnixMS)
		latest[d.ID] = d
	}
	merged := slices.SortedFunc(maps.Values(latest), func(x, y Departure) int {
		return cmp.Or(cmp.Compare(y.AtUnixMS, x.AtUnixMS), strings.Compare(x.ID, y.ID))
	})
	return slices.Clip(merged[:min(len(merged), MaxDepartures)])
}

// Departures returns the departures that an announcement tells of, as of a Unix time in
// milliseconds. Nodes of earlier versions announce only that of the current target.
func (a Announcement) Departures(unixMS int64) []Departure {
	if a.Target == nil || !a.Target.Leaving || Covers(a.Departed, a.Target.Process()) {
		return a.Departed
	}
	return append(slices.Clone(a.Departed), Departure{a.Target.Process(), unixMS})
}

// RecordDepartures records the departures that an announcement tells of, as of a Unix time in
// milliseconds. They stay known when a later process of the node announces itself.
func (d *Directory) RecordDepartures(a Announcement, unixMS int64) {
	known := d.departures[a.Node]
	for _, departure := range a.Departures(unixMS) {
		if !Covers(known, departure.Process) {
			known = MergeDepartures(known, []Departure{departure}, unixMS)
			d.departures[a.Node] = known
		}
	}
}

// Departures returns the departures that processes of a node announced. The caller must not modify
// them.
func (d *Directory) Departures(node mesh.NodeID) []Departure { return d.departures[node] }

// ExpireDepartures drops the departures that are no longer kept at a Unix time in milliseconds.
func (d *Directory) ExpireDepartures(unixMS int64) {
	for node, departed := range d.departures {
		if !slices.ContainsFunc(departed, func(x Departure) bool { return x.Expired(unixMS) }) {
			continue
		}
		if kept := MergeDepartures(departed, nil, unixMS); len(kept) > 0 {
			d.departures[node] = kept
		} else {
			delete(d.departures, node)
		}
	}
}
