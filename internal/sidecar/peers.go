package sidecar

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/routequery"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/quota"
)

// RPC methods between nodes.
const (
	methodState   = "state"
	methodConfig  = "config"
	methodVersion = "version"
	methodLease   = "quota.lease"
	methodTake    = "quota.take"
)

const (
	// stateTimeout limits one state RPC. An unresponsive connection is dropped after it.
	stateTimeout = time.Second
	// fetchTimeout limits the transfer of a configuration between nodes.
	fetchTimeout = 2 * time.Second
)

// peerHandler serves the RPCs of other nodes.
type peerHandler struct{ node *Node }

// HandleRPC implements rpc.Handler.
func (h peerHandler) HandleRPC(_ context.Context, method string, params json.RawMessage) (any, error) {
	n := h.node
	switch method {
	case methodState:
		var s control.PeerState
		if err := json.Unmarshal(params, &s); err != nil {
			return nil, rpc.ErrBadParams
		}
		n.handlePeerState(s, 0)
		return n.reply(s), nil
	case methodConfig:
		var r configRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, rpc.ErrBadParams
		}
		return n.configResponse(r)
	case methodVersion:
		return n.configFreshness(), nil
	case methodLease:
		var r quota.LeaseRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, rpc.ErrBadParams
		}
		return n.caps.handleLease(r), nil
	case methodTake:
		var r quota.TakeRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, rpc.ErrBadParams
		}
		return n.caps.handleTake(r), nil
	case routequery.Method:
		var q routequery.Question
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, rpc.ErrBadParams
		}
		return n.explainRoute(q), nil
	default:
		return nil, rpc.ErrUnknownMethod
	}
}

// recordPeerContact counts failed RPCs and logs when contact with a node is lost and
// regained.
func (n *Node) recordPeerContact(peer mesh.NodeID, err error) {
	if err == nil {
		if _, was := n.unreachablePeers.LoadAndDelete(peer); was {
			n.logger.Info("peer_regained", "peer", string(peer))
		}
		return
	}
	n.metrics.peerErrors.Add(1)
	if _, was := n.unreachablePeers.LoadOrStore(peer, true); !was {
		n.logger.Info("peer_lost", "peer", string(peer), "error", err.Error())
	}
}

// handlePeerState processes the state of another node, which came in response to a request sent
// roundTrip ago if that is not 0.
func (n *Node) handlePeerState(s control.PeerState, roundTrip time.Duration) {
	n.balanceMu.Lock()
	n.balancer.MarkZoneReachable(s.Announcement.Zone)
	n.balanceMu.Unlock()
	n.step(control.PeerStateReceived{State: s, RoundTrip: roundTrip})
}

func (n *Node) configFreshness() control.ConfigFreshness {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	return n.control.ConfigFreshness(n.clock.time())
}

// checkConfig asks a reader for the version of its configuration.
func (n *Node) checkConfig(reader directory.Announcement) {
	ctx, cancel := context.WithTimeout(n.ctx, stateTimeout)
	defer cancel()
	sent := n.clock.now()
	var fresh control.ConfigFreshness
	err := n.rpc.Call(ctx, reader.RPCAddress, methodVersion, struct{}{}, &fresh)
	n.recordPeerContact(reader.Node, err)
	n.step(control.ConfigChecked{From: reader, Failed: err != nil, ConfigFreshness: fresh, RoundTrip: n.clock.now() - sent})
}

func (n *Node) state() control.PeerState {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	return n.control.State(n.clock.time())
}

// reply returns the state in response to that of another node.
func (n *Node) reply(received control.PeerState) control.PeerState {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	return n.control.Reply(n.clock.time(), received)
}

// sendState sends the state to nodes and processes theirs.
func (n *Node) sendState(e control.SendState) {
	view := n.view.Load()
	for _, id := range e.To {
		if peer, ok := view.Announcements[id]; ok && peer.RPCAddress.IsValid() {
			go n.exchangeState(peer, e.State)
		}
	}
}

// exchangeState sends the state to a node and processes its state.
func (n *Node) exchangeState(peer directory.Announcement, state control.PeerState) {
	ctx, cancel := context.WithTimeout(n.ctx, stateTimeout)
	defer cancel()
	sent := n.clock.now()
	var reply control.PeerState
	err := n.rpc.Call(ctx, peer.RPCAddress, methodState, state, &reply)
	n.recordPeerContact(peer.Node, err)
	if err != nil {
		return
	}
	n.handlePeerState(reply, n.clock.now()-sent)
}

// fetchConfig fetches the configuration of another node, for use while the store is
// unavailable to this node.
func (n *Node) fetchConfig(from directory.Announcement) {
	ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	have, request := n.view.Load().Config, configRequest{}
	if have != nil {
		request.Have = have.Version
	}
	var response configResponse
	err := n.rpc.Call(ctx, from.RPCAddress, methodConfig, request, &response)
	var c *published.Config
	if err == nil {
		c, err = response.decode(have)
	}
	if err != nil {
		n.logger.Info("config_not_fetched", "peer", string(from.Node), "error", err.Error())
		return
	}
	n.metrics.configFetches.Add(1)
	n.step(control.ConfigPublished{Config: c, From: from.Node})
}

// seedInterval is the time between two rounds of calls to the seeds while no other node is
// known.
const seedInterval = 500 * time.Millisecond

// contactSeeds asks the seeds for their state until the node knows other nodes. Seeds may
// be stale or down; all nodes use the same port for RPCs.
func (n *Node) contactSeeds() {
	for n.ctx.Err() == nil && len(n.settings.Seeds) > 0 {
		if len(n.view.Load().Announcements) > 1 {
			return
		}
		var all sync.WaitGroup
		for _, seed := range n.settings.Seeds {
			all.Go(func() { n.contactSeed(netip.AddrPortFrom(seed.Addr(), n.settings.Peers.Port())) })
		}
		all.Wait()
		time.Sleep(seedInterval)
	}
}

func (n *Node) contactSeed(seed netip.AddrPort) {
	if seed == n.settings.Peers {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, stateTimeout)
	defer cancel()
	var reply control.PeerState
	if err := n.rpc.Call(ctx, seed, methodState, n.state(), &reply); err != nil {
		n.metrics.peerErrors.Add(1)
		n.logger.Info("seed_not_reached", "address", seed.String(), "error", err.Error())
		return
	}
	n.step(control.PeerStateReceived{State: reply})
}
