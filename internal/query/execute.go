package query

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// DefaultWithin is how long a reply may take after the wait of a change. The
// bound for a change to be in force everywhere is 9 s; the rest is for the append.
const DefaultWithin = 12 * time.Second

// Request is a command with the id that makes its repetition harmless.
type Request struct {
	// ID becomes the id of the record. Queries need none.
	ID      string
	Text    string
	Command Command
	// Within lowers the bound of the command on its reply, if set.
	Within *time.Duration
}

// Bound returns how long the reply to a command may take. It is 0 for a query,
// which is answered at once.
func Bound(c Command) time.Duration {
	var within *time.Duration
	bound := time.Duration(0)
	switch c := c.(type) {
	case Change:
		within, bound = c.Within, c.Wait+DefaultWithin
	case ShowChange:
		within = c.Within
	case ShowMove:
		within = c.Within
	}
	if within != nil {
		return *within
	}
	return bound
}

// Execute runs a command at a node. It returns when the command has reached its
// end, when its time is up, or when ctx ends; the reply tells what is true then.
func Execute(ctx context.Context, b Backend, req Request) Reply {
	bound := Bound(req.Command)
	if req.Within != nil {
		bound = min(bound, *req.Within)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var reply Reply
	switch c := req.Command.(type) {
	case Change:
		reply = executeChange(ctx, b, req, c)
	case ShowChange:
		reply = await(ctx, b, func() (Reply, bool) { return assessChange(b, c.ID, b.ChangeStatus(c.ID), c.Within != nil) })
		reply.ID = c.ID
	case ShowMove:
		reply = await(ctx, b, func() (Reply, bool) { return showMove(b, c.ID) })
	case ShowPrice:
		reply = showPrice(b, c.Change)
	default:
		reply = show(b, c)
	}
	return reply
}

// await repeats an assessment at each change of the node until it is final or
// ctx ends.
func await(ctx context.Context, b Backend, assess func() (Reply, bool)) Reply {
	for {
		// Taken before the assessment, so that no change between the two is missed.
		changed := b.Changed()
		reply, final := assess()
		if final {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-changed:
		}
	}
}

func executeChange(ctx context.Context, b Backend, req Request, c Change) Reply {
	if !state.ValidName(req.ID) {
		return refuse(b, errors.Newf("a change needs an id, and %q is none", req.ID))
	}
	var before *Price
	// A repeated command is not written anew: its first record decides.
	if b.ChangeStatus(req.ID).Stage == StageNone {
		body, expected, err := prepare(b, req.ID, c)
		if err != nil {
			reply := refuse(b, err)
			reply.ID = req.ID
			return reply
		}
		price := b.Price(body, c.Wait)
		before = &price
		// The time of the reply doesn't bound the change, which goes on without it.
		status := b.Submit(context.WithoutCancel(ctx), Submission{ID: req.ID, Body: body, ExpectedRevision: expected, Wait: c.Wait, Text: req.Text})
		if status.Stage == StageNotRun {
			// The node may keep no trace of a change that it did not take on.
			reply, _ := assessChange(b, req.ID, status, false)
			reply.ID, reply.PriceBefore = req.ID, before
			return reply
		}
	}
	follow := c.Within != nil
	reply := await(ctx, b, func() (Reply, bool) { return assessChange(b, req.ID, b.ChangeStatus(req.ID), follow) })
	reply.ID, reply.PriceBefore = req.ID, before
	return reply
}

// prepare writes the body of a change and checks its size.
func prepare(b Backend, id string, c Change) (record.Body, record.Revision, error) {
	s := b.State()
	body, expected, err := bind(c, s, b.Now())
	if err != nil {
		return nil, 0, err
	}
	_, err = record.Encode(record.Record{ID: id, Base: s.Revision, ExpectedRevision: expected, Body: body})
	return body, expected, err
}

func refuse(b Backend, err error) Reply {
	return Reply{Status: StatusRefused, Outcome: NotRun, Reason: err.Error(), Revision: b.State().Revision}
}
