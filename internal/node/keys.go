package node

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"sync/atomic"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// keyOwners connects the call path to the key ownership state machine in the reducer.
type keyOwners struct {
	loop   *loop
	view   atomic.Pointer[keyView]
	nextID atomic.Uint64

	mu      sync.Mutex
	waiting map[idempotency.RequestID]chan callpath.KeyGrant

	released     chan struct{}
	releasedOnce sync.Once
}

// keyView is a snapshot that the call path reads without querying the reducer.
type keyView struct {
	slots idempotency.Slots
	fence *idempotency.FenceView
	nodes map[mesh.NodeID]keyNode
}

type keyNode struct {
	session     mesh.SessionID
	callAddress netip.AddrPort
}

var _ callpath.Keys = (*keyOwners)(nil)

func newKeyOwners(l *loop) *keyOwners {
	return &keyOwners{
		loop: l, waiting: map[idempotency.RequestID]chan callpath.KeyGrant{}, released: make(chan struct{}),
	}
}

func keyConfig(n *Node) idempotency.Config {
	c := idempotency.DefaultConfig(n.self.ID, n.self.Session)
	c.Lease = n.settings.Keys.Lease.Std()
	c.LeaseMargin = n.settings.Keys.LeaseMargin.Std()
	c.RetryHorizon = n.settings.Keys.RetryHorizon.Std()
	return c
}

// publish replaces the view after the owners or, if members is set, the nodes changed.
func (k *keyOwners) publish(c *core.Core, members bool) {
	fence, slots := c.Keys()
	view := &keyView{slots: slots, fence: fence}
	if old := k.view.Load(); old != nil && !members {
		view.nodes = old.nodes
		k.view.Store(view)
		return
	}
	view.nodes = map[mesh.NodeID]keyNode{}
	for _, info := range c.LiveNodes() {
		view.nodes[info.ID] = keyNode{session: info.Session, callAddress: info.CallAddress}
	}
	k.view.Store(view)
}

// Owner implements callpath.Keys.
func (k *keyOwners) Owner(key string) callpath.KeyOwner {
	view := k.view.Load()
	if view == nil {
		return callpath.KeyOwner{Refusal: callpath.NotRun(callpath.CodeNotReady, "the owners of keys are not known yet")}
	}
	location, ok := idempotency.Locate(key, &view.slots)
	if !ok {
		return callpath.KeyOwner{Refusal: callpath.NotRun(callpath.CodeNoOwner, "the key's slot has no owner at present")}
	}
	if location.Node == k.loop.node.self.ID {
		return callpath.KeyOwner{Node: location.Node}
	}
	node, known := view.nodes[location.Node]
	switch {
	case known && node.session == location.Session:
		return callpath.KeyOwner{Node: location.Node, CallAddress: node.callAddress}
	case location.Minted:
		return callpath.KeyOwner{Refusal: callpath.MayHaveRun(callpath.CodeNoOwner, "the node that minted the key is gone")}
	default:
		return callpath.KeyOwner{Refusal: callpath.NotRun(callpath.CodeNoOwner, "the owner of the key's slot is not reachable")}
	}
}

// Begin implements callpath.Keys.
func (k *keyOwners) Begin(ctx context.Context, key string, digest uint64) callpath.KeyGrant {
	id := idempotency.RequestID(k.nextID.Add(1))
	decision := make(chan callpath.KeyGrant, 1)
	k.mu.Lock()
	k.waiting[id] = decision
	k.mu.Unlock()
	k.loop.post(core.KeyRequested{ID: id, Key: key, Digest: digest})
	select {
	case grant := <-decision:
		grant.ID, grant.Key = uint64(id), key
		return grant
	case <-ctx.Done():
	case <-k.loop.ended:
	}
	return k.abandon(id, key, decision)
}

// abandon cancels a waiting request. An execution granted at the same time is
// finished immediately as not run.
func (k *keyOwners) abandon(id idempotency.RequestID, key string, decision chan callpath.KeyGrant) callpath.KeyGrant {
	k.mu.Lock()
	delete(k.waiting, id)
	k.mu.Unlock()
	select {
	case grant := <-decision:
		if grant.Execute {
			k.loop.post(core.KeyFinished{ID: id, Kind: idempotency.NotRun})
		}
	default:
		k.loop.post(core.KeyCanceled{ID: id})
	}
	// An earlier request with the key may be running, so this one can't say not-run.
	return callpath.KeyGrant{
		ID: uint64(id), Key: key,
		Refusal: callpath.MayHaveRun(callpath.CodeDeadline, "the call ended while a request with the same key was running"),
	}
}

// deliver passes the decision of the reducer to the waiting request.
func (k *keyOwners) deliver(id idempotency.RequestID, grant callpath.KeyGrant) {
	k.mu.Lock()
	decision, ok := k.waiting[id]
	delete(k.waiting, id)
	k.mu.Unlock()
	if ok {
		decision <- grant
		return
	}
	if grant.Execute {
		// deliver runs on the loop's goroutine, where post could deadlock.
		go k.loop.post(core.KeyFinished{ID: id, Kind: idempotency.NotRun})
	}
}

// Finish implements callpath.Keys.
func (k *keyOwners) Finish(grant callpath.KeyGrant, result callpath.KeyResult) {
	event := core.KeyFinished{ID: idempotency.RequestID(grant.ID)}
	switch result.Kind {
	case callpath.KeyNotRun:
		event.Kind = idempotency.NotRun
	case callpath.KeyDone:
		event.Kind = idempotency.Done
		event.Response = idempotency.Response{
			Status: result.Response.Status, Header: result.Response.Header, Body: result.Response.Body, Oversized: result.Response.Oversized,
		}
	default:
		event.Kind = idempotency.Unknown
	}
	k.loop.post(event)
}

// CheckFence implements callpath.Keys.
func (k *keyOwners) CheckFence(key string, fence callpath.FencingToken) *callpath.Refusal {
	view := k.view.Load()
	if view == nil {
		return callpath.NotRun(callpath.CodeNotReady, "the owners of keys are not known yet")
	}
	return callpath.FenceRefusal(view.fence.Check(key, idempotency.FencingToken(fence), k.loop.now()))
}

// mint returns a key that is permanently owned by this node session.
func (k *keyOwners) mint() string {
	self := k.loop.node.self
	return idempotency.Mint(self.ID, self.Session, rand.Text())
}

func storedResponse(a idempotency.Response) *callpath.StoredResponse {
	return &callpath.StoredResponse{Status: a.Status, Header: a.Header, Body: a.Body, Oversized: a.Oversized}
}
