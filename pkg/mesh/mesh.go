// Package mesh defines the types that the other packages share: nodes,
// availability zones, targets and endpoints.
package mesh

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NodeID names a node. It stays the same across restarts of the process.
type NodeID string

// AvailabilityZone names a failure domain within a region.
type AvailabilityZone string

// Region names a group of availability zones.
type Region string

// SessionID identifies one run of a node's process.
type SessionID string

// NodeInfo identifies a node and its addresses.
type NodeInfo struct {
	ID      NodeID           `json:"id"`
	Session SessionID        `json:"session"`
	Zone    AvailabilityZone `json:"zone"`
	Region  Region           `json:"region"`
	// RPCAddress is the jsonrpc2 listener for other nodes.
	RPCAddress netip.AddrPort `json:"rpc"`
	// CallAddress is the HTTP listener for calls.
	CallAddress netip.AddrPort `json:"call"`
}

// TargetState is whether a target accepts new work.
type TargetState string

// The states of a target. A target that is absent has no state.
const (
	TargetServing TargetState = "serving"
	TargetLeaving TargetState = "leaving"
)

// Target is what a target announces to its local node.
type Target struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is the target's HTTP listener.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts.
	Connections int         `json:"connections"`
	State       TargetState `json:"state"`
	// StartedUnixMS is the Unix time in milliseconds at which the target's process started,
	// 0 if it does not say so.
	StartedUnixMS int64 `json:"started,omitempty"`
}

// Endpoint is a target as seen by other nodes: it is reached through its node.
type Endpoint struct {
	Node        NodeID           `json:"node"`
	Session     SessionID        `json:"session"`
	Zone        AvailabilityZone `json:"zone"`
	CallAddress netip.AddrPort   `json:"call"`
	Service     string           `json:"service"`
	Version     string           `json:"version"`
	Slots       int              `json:"slots"`
	// StartedUnixMS identifies the process of the target, 0 if unknown.
	StartedUnixMS int64 `json:"started,omitempty"`
}

// ranked is a candidate with its rendezvous hash for a key.
type ranked struct {
	id    NodeID
	score uint64
}

func rankedFor(key string, id NodeID) ranked {
	return ranked{id, xxhash.Sum64String(key + "\x00" + string(id))}
}

// before orders by score, highest first, and by name among equal scores.
func (r ranked) before(o ranked) bool {
	return r.score > o.score || (r.score == o.score && r.id < o.id)
}

// RankNodes orders candidates by rendezvous hash for a key, best first. Nodes
// that know the same candidates agree on the order without communication, and the
// loss of one candidate moves only the keys that it ranked first for.
func RankNodes(key string, candidates []NodeID) []NodeID {
	scores := make([]ranked, 0, len(candidates))
	for _, id := range candidates {
		scores = append(scores, rankedFor(key, id))
	}
	slices.SortFunc(scores, func(a, b ranked) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		default:
			return 0
		}
	})
	order := make([]NodeID, len(scores))
	for i, s := range scores {
		order[i] = s.id
	}
	return order
}

// Rank returns the position of a node among the candidates, from 0, in the order of
// RankNodes, and false if it is not a candidate. It does not sort.
func Rank(key string, id NodeID, candidates []NodeID) (int, bool) {
	own, place, found := rankedFor(key, id), 0, false
	for _, other := range candidates {
		if other == id {
			found = true
		} else if rankedFor(key, other).before(own) {
			place++
		}
	}
	return place, found
}
