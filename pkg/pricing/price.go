package pricing

import "time"

// MeshStats holds the properties of the mesh that the price of a change depends on.
type MeshStats struct {
	// Nodes is the number of live nodes, at least 1.
	Nodes int
	// Zones is the number of availability zones, at least 1.
	Zones int
	// ActiveAuthors is the number of nodes that appended changes of operators in the
	// last minute, as seen in the log, including this node; 0 if unknown.
	ActiveAuthors int
	// ActiveSystemAuthors is the number of nodes that appended records of the system in the
	// last minute, such as owners of key slots and holders of rollouts, including this
	// node; 0 if unknown.
	ActiveSystemAuthors int
	// FanOut is the number of children of a node in the distribution tree.
	FanOut int
}

// Price is the cost of one change. Costs of a shared append are divided into fractions.
type Price struct {
	// Bytes is the traffic of the whole mesh: the append, the reads of all zone
	// readers, and one delivery to each other node.
	Bytes float64 `json:"bytes"`
	// RelayBytes is the most that any single node sends for it.
	RelayBytes float64 `json:"relay_bytes"`
	// Appends is the number of appends to the platform.
	Appends float64 `json:"appends"`
	// Reads is the number of reads from the platform.
	Reads float64 `json:"reads"`
}

// Terms of the price model.
const (
	// envelopeBytes is the size of a record's JSON envelope without its body.
	envelopeBytes = 160
	// itemOverheadBytes is what an item adds to a batch besides its body.
	itemOverheadBytes = 56
	// httpOverheadBytes is the HTTP overhead of one append or read.
	httpOverheadBytes = 300
	// deliveryOverheadBytes is the JSON-RPC 2.0 (jsonrpc2) overhead of one delivery to
	// a node.
	deliveryOverheadBytes = 120
	// base64Ratio is the growth of record bytes in the response to a read.
	base64Ratio = 4.0 / 3
	// readersPerZone is the number of nodes that read the log for their zone.
	readersPerZone = 2
)

// priceOfShare returns the price of a change that fills a fraction of a record: record
// is the size of the whole record in bytes, and fraction is from 0 to 1.
func (m MeshStats) priceOfShare(record int, fraction float64) Price {
	readers := float64(readersPerZone * m.Zones)
	size := float64(record)
	deliveries := max(float64(m.Nodes)-readers, 0)
	bytes := size + httpOverheadBytes +
		readers*(size*base64Ratio+httpOverheadBytes) +
		deliveries*(size+deliveryOverheadBytes)
	return Price{
		Bytes:      bytes * fraction,
		RelayBytes: float64(m.FanOut) * (size + deliveryOverheadBytes) * fraction,
		Appends:    fraction,
		Reads:      readers * fraction,
	}
}

// Estimate returns the expected price of a change before it is appended. body is the
// size of its encoded body in bytes, perSecond the rate of changes at the node, and
// meanBody their mean size. All changes that arrive within the wait share the append,
// up to MaxBatchItems.
func (m MeshStats) Estimate(body int, wait time.Duration, perSecond, meanBody float64) Price {
	m = m.normalized()
	others := min(perSecond*wait.Seconds(), MaxBatchItems-1)
	own := float64(body + itemOverheadBytes)
	shared := others * (meanBody + itemOverheadBytes)
	size := envelopeBytes + own + shared
	return m.priceOfShare(int(size), own/(own+shared))
}

func (m MeshStats) normalized() MeshStats {
	return MeshStats{
		Nodes: max(m.Nodes, 1), Zones: max(m.Zones, 1), FanOut: max(m.FanOut, 1),
		ActiveAuthors: max(m.ActiveAuthors, 0), ActiveSystemAuthors: max(m.ActiveSystemAuthors, 0),
	}
}

func (p Price) add(o Price) Price {
	return Price{
		Bytes: p.Bytes + o.Bytes, RelayBytes: p.RelayBytes + o.RelayBytes,
		Appends: p.Appends + o.Appends, Reads: p.Reads + o.Reads,
	}
}
