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

// chooser draws the choices of a drive: from rapid, or from a fixed seed.
type chooser interface{ choose(n int) int }

type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) choose(n int) int { return rapid.IntRange(0, n-1).Draw(r.t, "choice") }

type seededChooser struct{ *rand.Rand }

func (s seededChooser) choose(n int) int { return s.IntN(n) }

// queueTest feeds a queue with changes, settles its appends in any order, and checks
// that no change is lost, doubled, reordered against another one of the same
// object, or failed by a bad neighbor in its batch.
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
	// newest is the newest change in flight or accepted for an object.
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

func (d *queueTest) run(steps int) error {
	for range steps {
		d.now += time.Duration(d.choose.choose(2000)) * time.Millisecond
		var err error
		switch {
		case d.choose.choose(3) > 0:
			err = d.submit()
		case len(d.inflight) > 0:
			err = d.settle(d.choose.choose(len(d.inflight)))
		default:
			err = d.step(pricing.Tick{Now: d.now})
		}
		if err != nil {
			return err
		}
	}
	return d.finish()
}

// finish settles all and requires an answer for each change.
func (d *queueTest) finish() error {
	for range 10_000 {
		if len(d.answered) == d.number {
			return nil
		}
		d.now += time.Minute
		if err := d.step(pricing.Tick{Now: d.now}); err != nil {
			return err
		}
		for len(d.inflight) > 0 {
			if err := d.settle(0); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%d of %d changes answered", len(d.answered), d.number)
}

func (d *queueTest) submit() error {
	d.number++
	id := fmt.Sprintf("change-%d", d.number)
	object := d.choose.choose(6)
	d.object[id] = object
	d.invalid[id] = d.choose.choose(10) == 0
	wait := []time.Duration{0, time.Second, 10 * time.Second, 5 * time.Minute}[d.choose.choose(4)]
	body := record.PutRoute{Name: fmt.Sprint(object), Prefix: id, Service: "courier"}
	return d.step(pricing.ChangeSubmitted{Now: d.now, Change: pricing.Change{ID: id, Body: body, Wait: wait}})
}

func (d *queueTest) step(e pricing.Event) error {
	for _, effect := range d.queue.Step(e) {
		switch effect := effect.(type) {
		case pricing.AppendRecord:
			if err := d.append(d.mutate(effect)); err != nil {
				return err
			}
		case pricing.ChangeResult:
			if err := d.answer(effect); err != nil {
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

func (d *queueTest) append(a pricing.AppendRecord) error {
	d.appends++
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
	d.inflight = append(d.inflight, a)
	return nil
}

// settle accepts a record unless one of its changes is bad.
func (d *queueTest) settle(i int) error {
	a := d.inflight[i]
	d.inflight = append(d.inflight[:i:i], d.inflight[i+1:]...)
	code := state.Accepted
	for _, b := range bodies(a.Record) {
		if d.invalid[b.Prefix] {
			code = state.Rejected
		}
	}
	if code == state.Accepted {
		for _, b := range bodies(a.Record) {
			if err := d.accept(b); err != nil {
				return err
			}
		}
	}
	return d.step(pricing.AppendResult{Now: d.now, RecordID: a.Record.ID, Outcome: state.Outcome{Code: code}})
}

func (d *queueTest) accept(b record.PutRoute) error {
	if d.accepted[b.Prefix] {
		return fmt.Errorf("%s took effect twice", b.Prefix)
	}
	d.accepted[b.Prefix] = true
	number := 0
	if _, err := fmt.Sscanf(b.Prefix, "change-%d", &number); err != nil {
		return err
	}
	object := d.object[b.Prefix]
	if number < d.newest[object] {
		return fmt.Errorf("%s took effect after a later change of its object", b.Prefix)
	}
	d.newest[object] = number
	return nil
}

func (d *queueTest) answer(a pricing.ChangeResult) error {
	if d.answered[a.ChangeID] {
		return fmt.Errorf("%s answered twice", a.ChangeID)
	}
	d.answered[a.ChangeID] = true
	if told := a.Outcome.Code == state.Accepted; told != d.accepted[a.ChangeID] || told == d.invalid[a.ChangeID] {
		return fmt.Errorf("%s answered as %s: bad %t, took effect %t", a.ChangeID, a.Outcome.Code, d.invalid[a.ChangeID], d.accepted[a.ChangeID])
	}
	return nil
}

// Guards against a merge that loses or doubles a change, changes the order of two
// changes of an object, or lets a bad change fail the others of its batch.
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
			d := newQueueTest(seededChooser{rand.New(rand.NewPCG(1, 1))})
			d.mutate = func(a pricing.AppendRecord) pricing.AppendRecord {
				if b, ok := a.Record.Body.(record.Batch); ok {
					a.Record.Body = mutate(b)
				}
				return a
			}
			err := d.run(80)
			if want == "twice" {
				// The doubled change is caught as a doubled object before it lands.
				want = "two changes of one object"
			}
			require.ErrorContains(t, err, want)
		})
	}
}
