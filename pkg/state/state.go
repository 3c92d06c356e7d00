// Package state implements the replicated state machine that derives the state of
// the mesh from the platform log: services, versions, routes, rollouts, claims and
// key slots.
//
// Every node applies the same records in the same order and therefore has the same
// state at the same revision. The state machine has no clock, I/O or goroutine. A
// record that breaks a rule changes only the outcome table, so the state is valid
// at every revision.
package state

import (
	"maps"
	"slices"

	"heathercroft.example/heathercroft/pkg/record"
)

// KeySlotCount is the number of key slots of the mesh. Lease renewals cost
// owners/(lease/3) appends per second: 64 slots with a lease of 60 s need at most 3.2.
const KeySlotCount = 64

// DedupWindow is the number of offsets for which an outcome is kept. A record with
// an older base expires, so it cannot take effect twice after its ID was dropped.
const DedupWindow = 8192

// UnverifiedWeightLimit is the maximum weight of a new version that has not passed
// a comparison.
const UnverifiedWeightLimit record.BasisPoints = 500

// Service is a set of interchangeable targets that share a name.
type Service struct {
	Name string `json:"name"`
	// Versions holds the versions in order of creation.
	Versions []string `json:"versions"`
	// Weights holds the share of traffic of each version with a share above 0. The
	// total is record.FullWeight.
	Weights  map[string]record.BasisPoints `json:"weights"`
	Revision record.Revision               `json:"revision"`
}

// Route sends requests with a path prefix to a service.
type Route struct {
	Name     string          `json:"name"`
	Prefix   string          `json:"prefix"`
	Service  string          `json:"service"`
	Revision record.Revision `json:"revision"`
}

// RolloutStatus is the status of a rollout.
type RolloutStatus string

// Rollout statuses.
const (
	RolloutProgressing RolloutStatus = "progressing"
	RolloutPaused      RolloutStatus = "paused"
	RolloutDone        RolloutStatus = "done"
	RolloutRolledBack  RolloutStatus = "rolled-back"
)

// Rollout moves the traffic of a service from one version to another.
type Rollout struct {
	ID             record.RolloutID   `json:"id"`
	Service        string             `json:"service"`
	From           string             `json:"from"`
	To             string             `json:"to"`
	StartUnixMS    int64              `json:"start_unix_ms"`
	DeadlineUnixMS int64              `json:"deadline_unix_ms"`
	Status         RolloutStatus      `json:"status"`
	Weight         record.BasisPoints `json:"weight_bp"`
	// Passed is set once the new version has passed a comparison.
	Passed   bool            `json:"passed"`
	Epoch    record.Epoch    `json:"epoch"`
	Holder   string          `json:"holder,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Cause    string          `json:"cause,omitempty"`
	Revision record.Revision `json:"revision"`
}

// Open reports whether the rollout has not ended.
func (r Rollout) Open() bool {
	return r.Status == RolloutProgressing || r.Status == RolloutPaused
}

// KeySlot is a partition of the idempotency keys, by hash.
type KeySlot struct {
	Owner   string `json:"owner,omitempty"`
	Session string `json:"session,omitempty"`
	// Epoch is the offset of the claim, 0 if the slot was never owned.
	Epoch record.Epoch `json:"epoch"`
	// Renewal is the offset of the last claim, renewal or release.
	Renewal record.Revision `json:"renewal"`
	// RenewalNonce is the nonce of the last renewal.
	RenewalNonce uint64 `json:"renewal_nonce,omitempty"`
	// Released is set once the owner has released the slot during a graceful shutdown.
	Released bool `json:"released,omitempty"`
	// Successor is the node that received the stored results of the released slot.
	Successor string `json:"successor,omitempty"`
}

// Node is a node that was announced in the log.
type Node struct {
	record.NodeAnnounced
	Revision record.Revision `json:"revision"`
}

// State is the result of applying a prefix of the log. It is owned by one
// goroutine; readers get a Clone.
type State struct {
	// Revision is the offset of the last applied entry.
	Revision record.Revision              `json:"revision"`
	Services map[string]Service           `json:"services"`
	Routes   map[string]Route             `json:"routes"`
	Rollouts map[record.RolloutID]Rollout `json:"rollouts"`
	KeySlots [KeySlotCount]KeySlot        `json:"key_slots"`
	Nodes    map[string]Node              `json:"nodes"`
	Outcomes map[string]Outcome           `json:"outcomes"`
	// Malformed counts the entries that were not records.
	Malformed uint64 `json:"malformed"`
	// outcomeOrder holds the IDs of Outcomes in order of offset.
	outcomeOrder []string
}

// New returns the state at revision 0, before the first record.
func New() *State {
	return &State{
		Services: map[string]Service{},
		Routes:   map[string]Route{},
		Rollouts: map[record.RolloutID]Rollout{},
		Nodes:    map[string]Node{},
		Outcomes: map[string]Outcome{},
	}
}

// Clone returns an independent copy. The slices and maps inside Service values are
// shared, since they are replaced and never modified in place.
func (s *State) Clone() *State {
	c := *s
	c.Services = maps.Clone(s.Services)
	c.Routes = maps.Clone(s.Routes)
	c.Rollouts = maps.Clone(s.Rollouts)
	c.Nodes = maps.Clone(s.Nodes)
	c.Outcomes = maps.Clone(s.Outcomes)
	c.outcomeOrder = slices.Clone(s.outcomeOrder)
	return &c
}

// OpenRollout returns the open rollout of a service.
func (s *State) OpenRollout(service string) (Rollout, bool) {
	for _, r := range s.Rollouts {
		if r.Service == service && r.Open() {
			return r, true
		}
	}
	return Rollout{}, false
}

// SlotOf returns the key slot of an idempotency key.
func SlotOf(key string) int {
	return int(hashKey(key) % KeySlotCount)
}
