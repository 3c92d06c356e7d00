package query

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// DefaultWithin is the time limit for a reply after the wait of a change. A change
// must be in force everywhere within 9 s; the rest is for the append.
const DefaultWithin = 12 * time.Second

// Request is a command with the ID that makes retries idempotent.
type Request struct {
	// ID becomes the ID of the record. Queries need none.
	ID      string
	Text    string
	Command Command
	// Within lowers the time limit of the reply, if set.
	Within *time.Duration
}

// Bound returns the time limit for the reply to a command. It is 0 for a query,
// which gets an immediate reply.
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

// Execute runs a command at a node. It returns when the reply is final, when the
// time limit is reached, or when ctx ends; the reply states what is known then.
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

// await calls assess at each change of the node until the reply is final or ctx
// ends.
func await(ctx context.Context, b Backend, assess func() (Reply, bool)) Reply {
	for {
		// Get the channel before the assessment, so that no change in between is missed.
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
	// A retried command is not submitted again: the first record determines the
	// outcome.
	if b.ChangeStatus(req.ID).Stage == StageNone {
		body, expected, err := prepare(b, req.ID, c)
		if err != nil {
			reply := refuse(b, err)
			reply.ID = req.ID
			return reply
		}
		price := b.Price(body, c.Wait)
		before = &price
		// The time limit of the reply does not apply to the change, which continues
		// after it.
		status := b.Submit(context.WithoutCancel(ctx), Submission{ID: req.ID, Body: body, ExpectedRevision: expected, Wait: c.Wait, Text: req.Text})
		if status.Stage == StageNotRun {
			// The node may not remember a change that it did not accept, so a later
			// look-up by ID may find nothing.
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

// prepare builds the body of a change and checks that it can be encoded, which
// includes its size.
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
