package query

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// object identifies what a statement changes. A batch may change each object only
// once.
type object struct {
	kind, name string
}

// bind converts a change into the body of a record and the expected revision. It
// returns an error if the change can't be encoded as a record.
func bind(c Change, s *state.State, now time.Time) (record.Body, record.Revision, error) {
	if len(c.Statements) == 1 {
		body, err := bindBody(c.Statements[0], now)
		return body, expectedRevision(c.Statements[0], s), err
	}
	batch := record.Batch{Items: make([]record.BatchItem, 0, len(c.Statements))}
	changed := map[object]int{}
	for i, st := range c.Statements {
		// Each item states the expected revision of its object. The revision that an
		// earlier item of the same batch would give the object isn't known before
		// the append.
		o := objectOf(st.Body)
		if first, ok := changed[o]; ok {
			return nil, 0, errors.Newf("statements %d and %d both %s; use two commands", first, i+1, o)
		}
		changed[o] = i + 1
		body, err := bindBody(st, now)
		if err != nil {
			return nil, 0, errors.Newf("statement %d: %v", i+1, err)
		}
		batch.Items = append(batch.Items, record.BatchItem{ExpectedRevision: expectedRevision(st, s), Body: body})
	}
	return batch, 0, nil
}

func bindBody(st Statement, now time.Time) (record.Body, error) {
	start, ok := st.Body.(record.StartRollout)
	if !ok {
		return st.Body, nil
	}
	end := st.Deadline.At
	if end.IsZero() {
		end = now.Add(st.Deadline.In)
	}
	if !end.After(now) {
		return nil, errors.Newf("the deadline %s is not after the node's time %s", end.UTC().Format(time.RFC3339), now.UTC().Format(time.RFC3339))
	}
	start.StartUnixMS = now.UnixMilli()
	start.DeadlineUnixMS = end.UnixMilli()
	return start, nil
}

// expectedRevision returns the revision that the object of a statement must have:
// the one that the operator stated, or the current one.
func expectedRevision(st Statement, s *state.State) record.Revision {
	if st.At != nil {
		return *st.At
	}
	switch b := st.Body.(type) {
	case record.PutService:
		return s.Services[b.Name].Revision
	case record.DeleteService:
		return s.Services[b.Name].Revision
	case record.PutVersion:
		return s.Services[b.Service].Revision
	case record.DeleteVersion:
		return s.Services[b.Service].Revision
	case record.PutRoute:
		return s.Routes[b.Name].Revision
	case record.DeleteRoute:
		return s.Routes[b.Name].Revision
	default:
		return 0
	}
}

// String completes the sentence "statements 1 and 2 both ...".
func (o object) String() string {
	if o == newMove {
		return "start a move"
	}
	return fmt.Sprintf("change the %s %q", o.kind, o.name)
}

// newMove is the object of a statement that starts a move. The revision of a record
// becomes the ID of the move that it starts, so a record can start only one move.
var newMove = object{kind: "move", name: "new"}

func objectOf(b record.Body) object {
	switch b := b.(type) {
	case record.PutService:
		return object{"service", b.Name}
	case record.DeleteService:
		return object{"service", b.Name}
	case record.PutVersion:
		return object{"service", b.Service}
	case record.DeleteVersion:
		return object{"service", b.Service}
	case record.PutRoute:
		return object{"route", b.Name}
	case record.DeleteRoute:
		return object{"route", b.Name}
	case record.StartRollout:
		return newMove
	case record.PauseRollout:
		return object{"move", fmt.Sprint(b.Rollout)}
	case record.ResumeRollout:
		return object{"move", fmt.Sprint(b.Rollout)}
	case record.RollBackRollout:
		return object{"move", fmt.Sprint(b.Rollout)}
	default:
		return object{string(b.Kind()), ""}
	}
}
