package node

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/snapshot"
)

// methodReport requests the current report of a rollout from its holder.
const methodReport = "rollout.report"

// peerHandler converts messages from other nodes into events.
type peerHandler struct{ loop *loop }

// ack is the response to a message.
type ack struct{}

// HandleRPC implements rpc.Handler.
func (h peerHandler) HandleRPC(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodReport {
		return h.report(params)
	}
	event, err := decodeMessage(method, params)
	if err != nil {
		return nil, err
	}
	h.loop.tryPost(event)
	return ack{}, nil
}

func decodeMessage(method string, params json.RawMessage) (core.Event, error) {
	switch method {
	case core.MethodMembership:
		return decodeAs(params, func(m membership.Message) core.Event { return core.MembershipReceived{Message: m} })
	case core.MethodPush:
		return decodeAs(params, func(p distribution.Push) core.Event { return core.PushReceived{Push: p} })
	case core.MethodPull:
		return decodeAs(params, func(r distribution.PullRequest) core.Event { return core.PullReceived{Request: r} })
	case core.MethodPullResponse:
		return decodeAs(params, func(a core.PullResponse) core.Event { return core.PullResponseReceived{Response: a} })
	case core.MethodEvidence:
		return decodeAs(params, func(r core.EvidenceReport) core.Event { return core.EvidenceReceived{Report: r} })
	case core.MethodHolderStatus:
		return decodeAs(params, func(s core.HolderStatus) core.Event { return core.HolderStatusReceived{Status: s} })
	case core.MethodCut:
		return decodeAs(params, func(c rollout.Cut) core.Event { return core.CutReceived{Cut: c} })
	case core.MethodHandover:
		return decodeAs(params, func(h idempotency.Handover) core.Event { return core.HandoverReceived{Handover: h} })
	case core.MethodHandoverReply:
		return decodeAs(params, func(a core.HandoverReply) core.Event { return core.HandoverReplied{Reply: a} })
	case core.MethodCrash:
		return decodeAs(params, func(r core.CrashReport) core.Event { return core.CrashReceived{Report: r} })
	default:
		return nil, errors.Wrapf(rpc.ErrUnknownMethod, "%q", method)
	}
}

func decodeAs[T any](params json.RawMessage, event func(T) core.Event) (core.Event, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return nil, errors.Wrapf(rpc.ErrBadParams, "%v", err)
	}
	return event(value), nil
}

// reportParams names a rollout.
type reportParams struct {
	Rollout record.RolloutID `json:"rollout"`
}

func (h peerHandler) report(params json.RawMessage) (any, error) {
	var p reportParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrapf(rpc.ErrBadParams, "%v", err)
	}
	var report rollout.Report
	var fresh bool
	h.loop.query(func(c *core.Core) { report, fresh, _ = c.RolloutReport(p.Rollout) })
	if !fresh {
		return nil, errors.Newf("this node does not hold rollout %d", p.Rollout)
	}
	return report, nil
}

// sendSnapshot encodes the state and sends it, on a goroutine of its own so that the
// loop isn't blocked.
func (l *loop) sendSnapshot(e core.SendSnapshot) {
	s := l.core.State()
	go func() {
		defer l.post(core.TransferDone{To: e.Node})
		data, err := snapshot.Encode(s)
		if err != nil {
			l.node.logger.Error("encode snapshot", "error", err.Error())
			return
		}
		response := e.Response
		response.Snapshot = &distribution.Snapshot{Revision: s.Revision, Data: data}
		ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
		defer cancel()
		if err := l.client.Call(ctx, e.To, core.MethodPullResponse, response, nil); err != nil {
			l.sendsFailed.Add(1)
		}
	}()
}
