// Package logpos names positions in the feeds of a store that may be restored from an older
// copy. A restoration loses the newest records and gives their offsets out again, so that an
// offset means something only within its era: the time between two restorations.
package logpos

// Position is a place in a feed.
type Position struct {
	// Era rises with each restoration. It is 0 if the store names none.
	Era uint64 `json:"era,omitempty"`
	// Offset is the number of records before the position, from the start of the feed.
	Offset uint64 `json:"offset"`
}

// After reports whether p was given out later than o. It does not tell whether p is the place
// of a record that an earlier era has at another offset.
func (p Position) After(o Position) bool {
	return p.Era > o.Era || p.Era == o.Era && p.Offset > o.Offset
}
