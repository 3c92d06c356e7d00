package sidecar

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// Methods between nodes.
const (
	methodState  = "state"
	methodConfig = "config"
)

const (
	// stateTimeout bounds one message: a connection that went silent is then dropped.
	stateTimeout = time.Second
	// fetchTimeout bounds the transfer of a configuration between nodes.
	fetchTimeout = 2 * time.Second
)

// peerHandler answers the messages of other nodes.
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
		n.heard(s)
		return n.state(), nil
	case methodConfig:
		var r configRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, rpc.ErrBadParams
		}
		return n.configCopy(r)
	default:
		return nil, rpc.ErrUnknownMethod
	}
}

// noteContact counts messages that did not arrive, and writes a line when contact with
// a node is lost and when it is regained.
func (n *Node) noteContact(peer mesh.NodeID, err error) {
	if err == nil {
		if _, was := n.lostPeers.LoadAndDelete(peer); was {
			n.logger.Info("peer_regained", "peer", string(peer))
		}
		return
	}
	n.metrics.peerErrors.Add(1)
	if _, was := n.lostPeers.LoadOrStore(peer, true); !was {
		n.logger.Info("peer_lost", "peer", string(peer), "error", err.Error())
	}
}

// heard takes the state of another node.
func (n *Node) heard(s control.PeerState) {
	n.balanceMu.Lock()
	n.balancer.MarkZoneReachable(s.Announcement.Zone)
	n.balanceMu.Unlock()
	n.step(control.PeerStateReceived{State: s})
}

func (n *Node) state() control.PeerState {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	return n.control.State(n.clock.time())
}

// sendState sends the state to nodes and takes theirs.
func (n *Node) sendState(e control.SendState) {
	view := n.view.Load()
	for _, id := range e.To {
		peer, ok := view.Announcements[id]
		if !ok || !peer.RPCAddress.IsValid() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, stateTimeout)
			defer cancel()
			var answer control.PeerState
			err := n.rpc.Call(ctx, peer.RPCAddress, methodState, e.State, &answer)
			n.noteContact(peer.Node, err)
			if err != nil {
				return
			}
			n.heard(answer)
		}()
	}
}

// fetchConfig asks a node for its configuration, for the time when the store
// does not answer this node.
func (n *Node) fetchConfig(from directory.Announcement) {
	n.restartOperatorRead()
	ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	have, request := n.view.Load().Config, configRequest{}
	if have != nil {
		request.Have = have.Version
	}
	var packed configCopy
	err := n.rpc.Call(ctx, from.RPCAddress, methodConfig, request, &packed)
	var c *published.Config
	if err == nil {
		c, err = packed.config(have)
	}
	if err != nil {
		n.logger.Info("config_not_fetched", "peer", string(from.Node), "error", err.Error())
		return
	}
	n.metrics.configFetches.Add(1)
	n.step(control.ConfigPublished{Config: c})
}

// seedInterval is the time between two calls of the seeds while no other node is known.
const seedInterval = 500 * time.Millisecond

// seek asks the seeds for their state while the store has told of no other node.
// Seeds may be stale or down; all nodes use the same port for messages.
func (n *Node) seek() {
	for n.ctx.Err() == nil && len(n.settings.Seeds) > 0 {
		if len(n.view.Load().Announcements) > 1 {
			return
		}
		for _, seed := range n.settings.Seeds {
			n.ask(netip.AddrPortFrom(seed.Addr(), n.settings.Peers.Port()))
		}
		time.Sleep(seedInterval)
	}
}

func (n *Node) ask(seed netip.AddrPort) {
	if seed == n.settings.Peers {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, stateTimeout)
	defer cancel()
	var answer control.PeerState
	if err := n.rpc.Call(ctx, seed, methodState, n.state(), &answer); err != nil {
		n.metrics.peerErrors.Add(1)
		n.logger.Info("seed_not_reached", "address", seed.String(), "error", err.Error())
		return
	}
	n.step(control.PeerStateReceived{State: answer})
}
