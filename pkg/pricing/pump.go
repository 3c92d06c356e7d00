package pricing

import (
	"fmt"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// dispatch appends what is due while tokens last, and sets a timer for the rest.
func (q *Queue) dispatch() {
	q.dispatchSystem()
	for len(q.waiting) > 0 && q.general.nextTokenAt(q.now) <= q.now {
		leader := q.nextLeader()
		if leader == nil {
			break
		}
		q.general.take(q.now)
		q.appendItems(q.buildBatch(leader))
	}
	q.setTimer()
}

// dispatchSystem appends the system's records, on reserved tokens first.
func (q *Queue) dispatchSystem() {
	for len(q.system) > 0 && (q.reserved.take(q.now) || q.general.take(q.now)) {
		q.emit(AppendRecord{Record: q.system[0]})
		q.system = q.system[1:]
	}
}

// nextLeader returns the due change that leads the next append: an urgent one first,
// but a non-urgent one after maxConsecutiveUrgent of them.
func (q *Queue) nextLeader() *item {
	var urgent, nonUrgent *item
	skipped := q.inflightObjects()
	for _, it := range q.waiting {
		if !skipped.conflicts(it.footprint) && it.dueAt <= q.now {
			if it.Wait <= 0 && urgent == nil {
				urgent = it
			}
			if it.Wait > 0 && nonUrgent == nil {
				nonUrgent = it
			}
		}
		skipped.add(it.footprint)
	}
	if urgent == nil || (nonUrgent != nil && q.consecutiveUrgent >= maxConsecutiveUrgent) {
		return nonUrgent
	}
	return urgent
}

// inflightObjects returns the objects written and read by records in flight.
func (q *Queue) inflightObjects() objectSet {
	set := newObjectSet()
	for _, items := range q.inflight {
		for _, it := range items {
			set.add(it.footprint)
		}
	}
	return set
}

// buildBatch collects the changes of the next record around its leader.
func (q *Queue) buildBatch(leader *item) []*item {
	if leader.Wait <= 0 {
		q.consecutiveUrgent++
	} else {
		q.consecutiveUrgent = 0
	}
	leader.selected = true
	if leader.unbatched {
		return []*item{leader}
	}
	b := batchBuilder{items: []*item{leader}, size: leader.size + itemOverheadBytes, written: newObjectSet(), rolloutStarts: rolloutStarts(leader)}
	b.written.add(leader.footprint)
	urgent := func(it *item) bool { return it.Wait <= 0 }
	due := func(it *item) bool { return it.dueAt <= q.now }
	rest := func(*item) bool { return true }
	// Urgent changes come before other due ones, and these before changes that are not
	// due yet. The second urgent pass finds those that had to follow a due one.
	for _, wanted := range []func(*item) bool{urgent, due, urgent, rest} {
		q.addMatching(&b, wanted)
	}
	slices.SortFunc(b.items, func(x, y *item) int { return int(int64(x.sequence) - int64(y.sequence)) })
	return b.items
}

// batchBuilder is a batch under construction.
type batchBuilder struct {
	items         []*item
	size          int
	written       objectSet
	rolloutStarts int
}

// addMatching adds the wanted changes, except those that must follow an earlier change
// that is not in the batch.
func (q *Queue) addMatching(b *batchBuilder, wanted func(*item) bool) {
	skipped := q.inflightObjects()
	for _, it := range q.waiting {
		if it.selected {
			continue
		}
		if wanted(it) && !it.unbatched && !skipped.conflicts(it.footprint) && b.fits(it) {
			b.add(it)
			continue
		}
		skipped.add(it.footprint)
	}
}

func (b *batchBuilder) fits(it *item) bool {
	return len(b.items) < MaxBatchItems && b.size+it.size+itemOverheadBytes <= MaxBatchBytes &&
		!b.written.overwrites(it.footprint) && b.rolloutStarts+rolloutStarts(it) <= 1
}

func (b *batchBuilder) add(it *item) {
	it.selected = true
	b.items = append(b.items, it)
	b.size += it.size + itemOverheadBytes
	b.written.add(it.footprint)
	b.rolloutStarts += rolloutStarts(it)
}

// rolloutStarts counts the rollouts that a change starts: a rollout's id is the
// revision of its record, so one record can start only one.
func rolloutStarts(it *item) int {
	if it.Body.Kind() == record.KindStartRollout {
		return 1
	}
	return 0
}

// appendItems requests the append of the items and moves them in flight.
func (q *Queue) appendItems(items []*item) {
	rec := record.Record{ID: items[0].ID, ExpectedRevision: items[0].ExpectedRevision, Body: items[0].Body}
	if len(items) > 1 {
		q.batches++
		batch := record.Batch{}
		for _, it := range items {
			batch.Items = append(batch.Items, record.BatchItem{ExpectedRevision: it.ExpectedRevision, Body: it.Body})
		}
		rec = record.Record{ID: fmt.Sprintf("%s/batch-%d", q.config.Author, q.batches), Body: batch}
	}
	total := envelopeBytes
	for _, it := range items {
		total += it.size + itemOverheadBytes
	}
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
		it.price = it.price.add(q.config.Mesh.priceOfShare(total, float64(it.size+itemOverheadBytes)/float64(total-envelopeBytes)))
	}
	q.inflight[rec.ID] = items
	q.waiting = slices.DeleteFunc(q.waiting, func(it *item) bool { return it.selected })
	q.emit(AppendRecord{Record: rec, Changes: ids})
}

// setTimer requests the next tick.
func (q *Queue) setTimer() {
	at, found := time.Duration(0), false
	consider := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if len(q.system) > 0 {
		consider(min(q.reserved.nextTokenAt(q.now), q.general.nextTokenAt(q.now)))
	}
	skipped := q.inflightObjects()
	ready := q.general.nextTokenAt(q.now)
	for _, it := range q.waiting {
		if found && at <= ready {
			break
		}
		if !skipped.conflicts(it.footprint) {
			consider(max(it.dueAt, ready))
		}
		skipped.add(it.footprint)
	}
	if found {
		q.emit(SetTimer{At: at})
	}
}
