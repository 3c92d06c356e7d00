package pricing

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Limits of the queue.
const (
	// MaxBatchItems and MaxBatchBytes bound a batch, so that it is delivered fast and
	// that it stays cheap to append its changes one by one if it is rejected.
	MaxBatchItems = 64
	MaxBatchBytes = 64 << 10
	// MaxWaiting bounds the changes that wait at a node; further ones are rejected.
	MaxWaiting = 10_000
	// MaxWait bounds the wait of a change: its record must reach the log long before
	// the revisions that it expects leave the reducer's deduplication window.
	MaxWait = time.Hour
	// MaxAppendsPerSecond is the limit on appends of all nodes together.
	MaxAppendsPerSecond = 100
	// reservedFraction is the fraction of MaxAppendsPerSecond that is reserved for records
	// of the system itself, such as claims, steps and renewals.
	reservedFraction = 0.3
	// maxBorrowedRate bounds, in appends per second, what a node borrows from the
	// share of idle nodes: nodes that start at the same time do not see each other
	// yet.
	maxBorrowedRate = 2
	// reservedMinCapacity lets a node that was idle claim a rollout, step it and roll
	// it back without delay. With one token at 2,500 nodes, a rollback would wait for
	// up to 25 s.
	reservedMinCapacity = 4
	// maxConsecutiveUrgent is how many appends in a row may be led by urgent changes
	// while a non-urgent change is overdue.
	maxConsecutiveUrgent = 3
)

// Config configures a Queue.
type Config struct {
	// Author prefixes the ids of batch records. It must differ between sessions of a
	// node, e.g. "<node>/<session>".
	Author string
	Mesh   MeshStats
}

// Queue holds the changes that wait at one node. Its invariants: each change is in at
// most one record in flight and gets exactly one ChangeResult; changes whose order
// matters reach the log in the order of their submission. A Queue is not safe for
// concurrent use.
type Queue struct {
	config   Config
	now      time.Duration
	sequence uint64
	batches  uint64
	waiting  []*item
	system   []record.Record
	inflight map[string][]*item
	general  tokenBucket
	reserved tokenBucket
	// consecutiveUrgent counts the appends led by urgent changes since a non-urgent
	// one led.
	consecutiveUrgent int
	rate              changeRate
	effects           []Effect
}

// item is a change in the queue.
type item struct {
	Change
	sequence           uint64
	submittedAt, dueAt time.Duration
	size               int
	footprint          footprint
	// unbatched is set for a batch of an operator, and after a batch with this item
	// was rejected: the item is then appended alone.
	unbatched bool
	selected  bool
	price     Price
}

// NewQueue returns an empty queue. Its general bucket holds one token and its reserved
// bucket holds reservedMinCapacity tokens.
func NewQueue(config Config) *Queue {
	config.Mesh = config.Mesh.normalized()
	q := &Queue{config: config, inflight: map[string][]*item{}}
	q.general.minCapacity, q.reserved.minCapacity = 1, reservedMinCapacity
	q.general.tokens, q.reserved.tokens = 1, reservedMinCapacity
	q.setRates()
	return q
}

func (q *Queue) setRates() {
	share := float64(MaxAppendsPerSecond) / float64(q.config.Mesh.Nodes)
	q.general.setRate(q.now, max(share*(1-reservedFraction), borrowedRate(1-reservedFraction, q.config.Mesh.ActiveAuthors)))
	q.reserved.setRate(q.now, max(share*reservedFraction, borrowedRate(reservedFraction, q.config.Mesh.ActiveSystemAuthors)))
}

// borrowedRate is the rate that idle nodes leave to each active node, of a fraction of
// the appends. Only half of it is distributed, so that as many nodes again may become
// active before the log shows it.
func borrowedRate(fraction float64, active int) float64 {
	if active == 0 {
		return 0
	}
	return min(MaxAppendsPerSecond*fraction/2/float64(active), maxBorrowedRate)
}

// PendingCount returns the number of changes that are neither in flight nor finished.
func (q *Queue) PendingCount() int { return len(q.waiting) }

// Step handles one event.
func (q *Queue) Step(e Event) []Effect {
	q.effects = nil
	switch e := e.(type) {
	case Tick:
		q.advance(e.Now)
	case ChangeSubmitted:
		q.advance(e.Now)
		q.submit(e.Change)
	case SystemRecordSubmitted:
		q.advance(e.Now)
		q.system = append(q.system, e.Record)
	case MeshChanged:
		q.advance(e.Now)
		q.config.Mesh = e.Mesh.normalized()
		q.setRates()
	case AppendResult:
		q.advance(e.Now)
		q.handleAppendResult(e)
	case AppendAbandoned:
		q.advance(e.Now)
		q.handleAppendAbandoned(e)
	}
	q.dispatch()
	return q.effects
}

func (q *Queue) advance(now time.Duration) { q.now = max(q.now, now) }

func (q *Queue) emit(e Effect) { q.effects = append(q.effects, e) }

func (q *Queue) submit(c Change) {
	it := &item{Change: c, sequence: q.sequence, submittedAt: q.now, dueAt: q.now + max(c.Wait, 0)}
	q.sequence++
	if reason := q.rejectReason(it); reason != "" {
		q.emitResult(it, state.Outcome{Code: state.Rejected, Reason: reason})
		return
	}
	it.footprint = footprintOf(c.Body)
	// An operator's batch is atomic, so it gets a record of its own.
	it.unbatched = c.Body.Kind() == record.KindBatch
	q.rate.observe(q.now, it.size)
	q.waiting = append(q.waiting, it)
	q.expediteConflicting()
	if c.Wait > 0 {
		q.emit(ChangeQueued{ChangeID: c.ID, Until: it.dueAt, Price: q.Estimate(it.size, c.Wait)})
	}
}

// rejectReason returns why a change can't be queued, and sets its size.
func (q *Queue) rejectReason(it *item) string {
	if it.Body == nil {
		return "a change needs a body"
	}
	size, err := bodySize(it.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("the change can't be encoded: %v", err)
	case size > MaxBatchBytes:
		return fmt.Sprintf("the change has %d bytes, limit %d", size, MaxBatchBytes)
	case len(q.waiting) >= MaxWaiting:
		return fmt.Sprintf("%d changes wait at this node already", MaxWaiting)
	case it.Wait > MaxWait:
		return fmt.Sprintf("the wait is over the limit of %s", MaxWait)
	}
	it.size = size
	return ""
}

// bodySize is the size of an encoded body, or of all items with their overhead for a
// batch.
func bodySize(b record.Body) (int, error) {
	batch, ok := b.(record.Batch)
	if !ok {
		data, err := json.Marshal(b)
		return len(data), err
	}
	total := 0
	for _, item := range batch.Items {
		size, err := bodySize(item.Body)
		if err != nil {
			return 0, err
		}
		total += size + itemOverheadBytes
	}
	return total, nil
}

// expediteConflicting moves up the due times of waiting changes that the newest change
// has to follow.
func (q *Queue) expediteConflicting() {
	newest := q.waiting[len(q.waiting)-1]
	set := newObjectSet()
	set.add(newest.footprint)
	for _, it := range slices.Backward(q.waiting[:len(q.waiting)-1]) {
		if it.dueAt > newest.dueAt && set.conflicts(it.footprint) {
			it.dueAt = newest.dueAt
			set.add(it.footprint)
		}
	}
}

// Estimate returns the expected price of a change with a body of the given size in
// bytes, at the present rate of changes at this node.
func (q *Queue) Estimate(body int, wait time.Duration) Price {
	return q.config.Mesh.Estimate(body, wait, q.rate.perSecond(q.now), q.rate.meanSize())
}

func (q *Queue) emitResult(it *item, o state.Outcome) {
	q.emit(ChangeResult{ChangeID: it.ID, Outcome: o, Waited: q.now - it.submittedAt, Price: it.price})
}

// handleAppendResult reports the outcome to the changes of a record, or retries them
// one at a time if the record was a batch that was not accepted.
func (q *Queue) handleAppendResult(e AppendResult) {
	items := q.inflight[e.RecordID]
	delete(q.inflight, e.RecordID)
	if len(items) > 1 && e.Outcome.Code != state.Accepted {
		for _, it := range items {
			it.unbatched, it.dueAt, it.selected = true, q.now, false
		}
		q.waiting = append(q.waiting, items...)
		slices.SortFunc(q.waiting, func(x, y *item) int { return int(int64(x.sequence) - int64(y.sequence)) })
		return
	}
	for _, it := range items {
		q.emitResult(it, e.Outcome)
	}
}

func (q *Queue) handleAppendAbandoned(e AppendAbandoned) {
	for _, it := range q.inflight[e.RecordID] {
		q.emit(ChangeResult{ChangeID: it.ID, Unknown: true, Reason: e.Reason, Waited: q.now - it.submittedAt, Price: it.price})
	}
	delete(q.inflight, e.RecordID)
}
