package sidecar

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
)

// acquire waits for a slot and returns a function that releases it.
func (g *gate) acquire(ctx context.Context, r admission.Request) (release func(answered bool), waited time.Duration, refused *refusal) {
	ticket, waited, refused := g.admit(ctx, r)
	return func(answered bool) {
		e := noResponse
		if answered {
			e = responded
		}
		g.release(ticket, e)
	}, waited, refused
}
