package callpath

import (
	"encoding/json"
	"net/http"

	"heathercroft.example/heathercroft/pkg/idempotency"
)

var keyCodes = map[idempotency.Reason]Code{
	idempotency.ReasonNotOwner:       CodeNoOwner,
	idempotency.ReasonLeaseLapsed:    CodeLeaseLapsed,
	idempotency.ReasonNoKeyHistory:   CodeKeyUnknownOutcome,
	idempotency.ReasonOutcomeUnknown: CodeKeyUnknownOutcome,
	idempotency.ReasonMismatch:       CodeKeyMismatch,
	idempotency.ReasonKeyMemoryFull:  CodeKeyMemoryFull,
	idempotency.ReasonStopping:       CodeDraining,
	idempotency.ReasonTooManyWaiters: CodeKeyUnknownOutcome,
	idempotency.ReasonSessionGone:    CodeKeyUnknownOutcome,
}

// KeyRefusal converts a refusal of the key owner to the one that is sent to the
// caller.
func KeyRefusal(r idempotency.Refuse) *Refusal {
	refusal := NotRun(keyCodes[r.Reason], string(r.Reason))
	if r.MayHaveRun {
		refusal.Outcome = OutcomeMayHaveRun
	}
	return refusal
}

// FenceRefusal returns the refusal for the result of a fence check, nil for
// FencePass.
func FenceRefusal(v idempotency.FenceResult) *Refusal {
	switch v {
	case idempotency.FencePass:
		return nil
	case idempotency.FenceStale:
		return NotRun(CodeFenced, "the key's owner has been replaced or has stopped")
	default:
		return NotRun(CodeViewUnconfirmed, "the target's node cannot tell who owns the key")
	}
}

// MintHandler responds to POST with a new key as {"key":"..."}. mint returns a key
// that this node session owns.
func MintHandler(mint func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Key string `json:"key"`
		}{mint()})
	})
}
