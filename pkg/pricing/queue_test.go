package pricing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// chooser supplies the random choices of a test run, from rapid or from a fixed seed.
type chooser interface{ choose(n int) int }

type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) choose(n int) int { return rapid.IntRange(0, n-1).Draw(r.t, "choice") }

type seededChooser struct{ *rand.Rand }

func (s seededChooser) choose(n int) int { return s.IntN(n) }

// queueTest submits changes to a queue, completes its appends in any order, and checks
// that no change is lost, applied twice, reordered with another one of the same object,
// or rejected because of an invalid change in its batch.
type queueTest struct {
	choose   chooser
	queue    *pricing.Queue
	mutate   func(pricing.AppendRecord) pricing.AppendRecord
	now      time.Duration
	inflight []pricing.AppendRecord
	object   map[string]int
	invalid  map[string]bool
	accepted map[string]bool
	answered map[string]bool
	// newest is the newest accepted change of an object.
	newest  map[int]int
	number  int
	appends int
}

func newQueueTest(choose chooser) *queueTest {
	return &queueTest{
		choose: choose, queue: pricing.NewQueue(pricing.Config{Author: "node-1/s", Mesh: pricing.MeshStats{Nodes: 5, Zones: 2, FanOut: 4}}),
		mutate: func(a pricing.AppendRecord) pricing.AppendRecord { return a },
		object: map[string]int{}, invalid: map[string]bool{}, accepted: map[string]bool{}, answered: map[string]bool{}, newest: map[int]int{},
	}
}

func (q *queueTest) run(steps int) error {
	for range steps {
		q.now += time.Duration(q.choose.choose(2000)) * time.Millisecond
		var err error
		switch {
		case q.choose.choose(3) > 0:
			err = q.submit()
		case len(q.inflight) > 0:
			err = q.settle(q.choose.choose(len(q.inflight)))
		default:
			err = q.step(pricing.Tick{Now: q.now})
		}
		if err != nil {
			return err
		}
	}
	return q.finish()
}

// finish completes all appends and requires a result for each change.
func (q *queueTest) finish() error {
	for range 10_000 {
		if len(q.answered) == q.number {
			return nil
		}
		q.now += time.Minute
		if err := q.step(pricing.Tick{Now: q.now}); err != nil {
			return err
		}
		for len(q.inflight) > 0 {
			if err := q.settle(0); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%d of %d changes answered", len(q.answered), q.number)
}

func (q *queueTest) submit() error {
	q.number++
	id := fmt.Sprintf("change-%d", q.number)
	object := q.choose.choose(6)
	q.object[id] = object
	q.invalid[id] = q.choose.choose(10) == 0
	wait := []time.Duration{0, time.Second, 10 * time.Second, 5 * time.Minute}[q.choose.choose(4)]
	body := record.PutRoute{Name: fmt.Sprint(object), Prefix: id, Service: "courier"}
	return q.step(pricing.ChangeSubmitted{Now: q.now, Change: pricing.Change{ID: id, Body: body, Wait: wait}})
}

func (q *queueTest) step(e pricing.Event) error {
	for _, effect := range q.queue.Step(e) {
		switch effect := effect.(type) {
		case pricing.AppendRecord:
			if err := q.append(q.mutate(effect)); err != nil {
				return err
			}
		case pricing.ChangeResult:
			if err := q.answer(effect); err != nil {
				return err
			}
		}
	}
	return nil
}

func bodies(rec record.Record) []record.PutRoute {
	batch, ok := rec.Body.(record.Batch)
	if !ok {
		return []record.PutRoute{rec.Body.(record.PutRoute)}
	}
	var list []record.PutRoute
	for _, item := range batch.Items {
		list = append(list, item.Body.(record.PutRoute))
	}
	return list
}

func (q *queueTest) append(a pricing.AppendRecord) error {
	q.appends++
	if _, err := record.Encode(a.Record); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, b := range bodies(a.Record) {
		if seen[b.Name] {
			return fmt.Errorf("two changes of one object in a batch")
		}
		seen[b.Name] = true
	}
	q.inflight = append(q.inflight, a)
	return nil
}

// settle accepts a record unless one of its changes is invalid.
func (q *queueTest) settle(i int) error {
	a := q.inflight[i]
	q.inflight = append(q.inflight[:i:i], q.inflight[i+1:]...)
	code := state.Accepted
	for _, b := range bodies(a.Record) {
		if q.invalid[b.Prefix] {
			code = state.Rejected
		}
	}
	if code == state.Accepted {
		for _, b := range bodies(a.Record) {
			if err := q.accept(b); err != nil {
				return err
			}
		}
	}
	return q.step(pricing.AppendResult{Now: q.now, RecordID: a.Record.ID, Outcome: state.Outcome{Code: code}})
}

func (q *queueTest) accept(b record.PutRoute) error {
	if q.accepted[b.Prefix] {
		return fmt.Errorf("%s took effect twice", b.Prefix)
	}
	q.accepted[b.Prefix] = true
	number := 0
	if _, err := fmt.Sscanf(b.Prefix, "change-%d", &number); err != nil {
		return err
	}
	object := q.object[b.Prefix]
	if number < q.newest[object] {
		return fmt.Errorf("%s took effect after a later change of its object", b.Prefix)
	}
	q.newest[object] = number
	return nil
}

func (q *queueTest) answer(a pricing.ChangeResult) error {
	if q.answered[a.ChangeID] {
		return fmt.Errorf("%s answered twice", a.ChangeID)
	}
	q.answered[a.ChangeID] = true
	if told := a.Outcome.Code == state.Accepted; told != q.accepted[a.ChangeID] || told == q.invalid[a.ChangeID] {
		return fmt.Errorf("%s answered as %s: bad %t, took effect %t", a.ChangeID, a.Outcome.Code, q.invalid[a.ChangeID], q.accepted[a.ChangeID])
	}
	return nil
}

// Guards against batching that loses a change, applies one twice, reorders two changes
// of an object, or lets an invalid change reject the others of its batch.
func TestQueueKeepsEachChangeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, newQueueTest(rapidChooser{t}).run(80))
	})
}

// Guards against checks that pass whatever the queue does.
func TestChecksCatchBrokenMerges(t *testing.T) {
	mutations := map[string]func(record.Batch) record.Batch{
		"answered as": func(b record.Batch) record.Batch { return record.Batch{Items: b.Items[1:]} },
		"twice":       func(b record.Batch) record.Batch { return record.Batch{Items: append(b.Items, b.Items[0])} },
		"two changes of one object": func(b record.Batch) record.Batch {
			twin := b.Items[0].Body.(record.PutRoute)
			twin.Prefix = "change-0"
			return record.Batch{Items: append(b.Items, record.BatchItem{Body: twin})}
		},
	}
	for want, mutate := range mutations {
		t.Run(want, func(t *testing.T) {
			q := newQueueTest(seededChooser{rand.New(rand.NewPCG(1, 1))})
			q.mutate = func(a pricing.AppendRecord) pricing.AppendRecord {
				if b, ok := a.Record.Body.(record.Batch); ok {
					a.Record.Body = mutate(b)
				}
				return a
			}
			err := q.run(80)
			if want == "twice" {
				// The repeated change is detected as a repeated object before it takes effect.
				want = "two changes of one object"
			}
			require.ErrorContains(t, err, want)
		})
	}
}
