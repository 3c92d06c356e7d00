package pricing

import (
	"fmt"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// pump appends what is due while tokens last, and asks to be woken for the rest.
func (q *Queue) pump() {
	q.pumpSystem()
	for len(q.waiting) > 0 && q.general.ready(q.now) <= q.now {
		leader := q.leader()
		if leader == nil {
			break
		}
		q.general.take(q.now)
		q.send(q.gather(leader))
	}
	q.wake()
}

// pumpSystem appends the system's records on the reserved tokens first.
func (q *Queue) pumpSystem() {
	for len(q.system) > 0 && (q.reserved.take(q.now) || q.general.take(q.now)) {
		q.emit(AppendRecord{Record: q.system[0]})
		q.system = q.system[1:]
	}
}

// leader returns the due change that leads the next append: an urgent one first,
// but a patient one after urgentInRow of them.
func (q *Queue) leader() *item {
	var urgent, patient *item
	skipped := q.flying()
	for _, it := range q.waiting {
		if !skipped.conflicts(it.touches) && it.due <= q.now {
			if it.Wait <= 0 && urgent == nil {
				urgent = it
			}
			if it.Wait > 0 && patient == nil {
				patient = it
			}
		}
		skipped.add(it.touches)
	}
	if urgent == nil || (patient != nil && q.urgentLed >= urgentInRow) {
		return patient
	}
	return urgent
}

// flying returns the objects that records in flight touch.
func (q *Queue) flying() objects {
	set := newObjects()
	for _, items := range q.inflight {
		for _, it := range items {
			set.add(it.touches)
		}
	}
	return set
}

// gather collects the changes of the next record around its leader.
func (q *Queue) gather(leader *item) []*item {
	if leader.Wait <= 0 {
		q.urgentLed++
	} else {
		q.urgentLed = 0
	}
	leader.taken = true
	if leader.alone {
		return []*item{leader}
	}
	g := gathering{items: []*item{leader}, size: leader.size + itemBytes, written: newObjects(), starts: starts(leader)}
	g.written.add(leader.touches)
	urgent := func(it *item) bool { return it.Wait <= 0 }
	due := func(it *item) bool { return it.due <= q.now }
	any := func(*item) bool { return true }
	// Urgent changes come before other due ones, these before mere riders. The
	// second look at the urgent ones finds those that had to follow a due one.
	for _, pass := range []func(*item) bool{urgent, due, urgent, any} {
		q.pass(&g, pass)
	}
	slices.SortFunc(g.items, func(a, b *item) int { return int(int64(a.sequence) - int64(b.sequence)) })
	return g.items
}

// gathering is a batch under construction.
type gathering struct {
	items   []*item
	size    int
	written objects
	starts  int
}

// pass adds the wanted changes that no earlier change left behind has to precede.
func (q *Queue) pass(g *gathering, wanted func(*item) bool) {
	behind := q.flying()
	for _, it := range q.waiting {
		if it.taken {
			continue
		}
		if wanted(it) && !it.alone && !behind.conflicts(it.touches) && g.fits(it) {
			g.add(it)
			continue
		}
		behind.add(it.touches)
	}
}

func (g *gathering) fits(it *item) bool {
	return len(g.items) < MaxBatchItems && g.size+it.size+itemBytes <= MaxBatchBytes &&
		!g.written.overwrites(it.touches) && g.starts+starts(it) <= 1
}

func (g *gathering) add(it *item) {
	it.taken = true
	g.items = append(g.items, it)
	g.size += it.size + itemBytes
	g.written.add(it.touches)
	g.starts += starts(it)
}

// starts counts rollouts started: a rollout's id is the revision of its record,
// so that one record can start only one.
func starts(it *item) int {
	if it.Body.Kind() == record.KindStartRollout {
		return 1
	}
	return 0
}

// send emits the append of the items and moves them in flight.
func (q *Queue) send(items []*item) {
	rec := record.Record{ID: items[0].ID, ExpectedRevision: items[0].Presumes, Body: items[0].Body}
	if len(items) > 1 {
		q.batches++
		batch := record.Batch{}
		for _, it := range items {
			batch.Items = append(batch.Items, record.BatchItem{ExpectedRevision: it.Presumes, Body: it.Body})
		}
		rec = record.Record{ID: fmt.Sprintf("%s/batch-%d", q.config.Author, q.batches), Body: batch}
	}
	total := envelopeBytes
	for _, it := range items {
		total += it.size + itemBytes
	}
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
		it.spent = it.spent.plus(q.config.Mesh.priceOf(total, float64(it.size+itemBytes)/float64(total-envelopeBytes)))
	}
	q.inflight[rec.ID] = items
	q.waiting = slices.DeleteFunc(q.waiting, func(it *item) bool { return it.taken })
	q.emit(AppendRecord{Record: rec, Changes: ids})
}

// wake asks for the next tick.
func (q *Queue) wake() {
	at, any := time.Duration(0), false
	consider := func(t time.Duration) {
		if !any || t < at {
			at, any = t, true
		}
	}
	if len(q.system) > 0 {
		consider(min(q.reserved.ready(q.now), q.general.ready(q.now)))
	}
	skipped := q.flying()
	ready := q.general.ready(q.now)
	for _, it := range q.waiting {
		if any && at <= ready {
			break
		}
		if !skipped.conflicts(it.touches) {
			consider(max(it.due, ready))
		}
		skipped.add(it.touches)
	}
	if any {
		q.emit(SetTimer{At: at})
	}
}
