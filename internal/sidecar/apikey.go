package sidecar

import (
	"net/http"
	"net/textproto"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/published"
)

// maxKeyBytes limits the length of a key, so that hashing it costs little.
const maxKeyBytes = 1024

// Reasons why a request is refused for its key.
const (
	reasonKeyMissing   = "key-missing"
	reasonKeyDuplicate = "key-duplicate"
	reasonKeyOversized = "key-oversized"
	reasonKeyMalformed = "key-malformed"
	reasonKeyUnknown   = "key-unknown"
	// reasonKeyWithdrawn is the reason if a later version of the configuration than that at the
	// arrival of the request does not accept it.
	reasonKeyWithdrawn = "key-withdrawn"
	// reasonParentUnknown is the reason if the request may be a nested call for a request that a
	// former process of the node accepted.
	reasonParentUnknown = "parent-unknown"
)

// callerKey is what a node keeps of the key of a request.
type callerKey struct {
	hash published.KeyHash
	// problem is the reason why the request has no usable key, "" if it has one.
	problem string
}

// present reports whether the request carries a key, valid or not.
func (k callerKey) present() bool { return k.problem != reasonKeyMissing }

// takeKey removes the key, and the name of an organisation, from the header of a caller's request.
func (n *Node) takeKey(h http.Header) callerKey {
	values := h.Values(n.headers.APIKey)
	h.Del(n.headers.APIKey)
	h.Del(n.headers.Organisation)
	switch {
	case len(values) == 0:
		return callerKey{problem: reasonKeyMissing}
	case len(values) > 1:
		return callerKey{problem: reasonKeyDuplicate}
	case len(values[0]) > maxKeyBytes:
		return callerKey{problem: reasonKeyOversized}
	case values[0] == "":
		return callerKey{problem: reasonKeyMalformed}
	default:
		return callerKey{hash: published.HashKey(values[0])}
	}
}

// judge returns the organisation that a request with the key counts for, nil if there is none, and
// the reason why the request must not be served, "" if it may be. route is nil if the
// configuration does not hold it.
func judge(c *published.Config, route *published.Route, key callerKey) (o *published.Organisation, reason string) {
	if len(c.Organisations) == 0 {
		return nil, ""
	}
	if key.problem == "" {
		if o = c.OrganisationOfHash(key.hash); o == nil {
			key.problem = reasonKeyUnknown
		}
	}
	if o == nil && (route == nil || c.NeedsKey(route)) {
		return nil, key.problem
	}
	return o, ""
}

// identify returns the parent of a request, nil if it is no nested call, the organisation that it
// counts for, and the reason why it must not be served, "" if it may be. A request with a key is
// no nested call: otherwise a caller could avoid its cap by its choice of ids.
func (n *Node) identify(c *published.Config, route *published.Route, key callerKey, parent *activeRequest, parentID string) (*activeRequest, *published.Organisation, string) {
	if len(c.Organisations) == 0 {
		return parent, nil, ""
	}
	if key.present() {
		o, reason := judge(c, route, key)
		return nil, o, reason
	}
	if parent == nil {
		parent = n.active.recent(parentID)
	}
	if parent != nil {
		return parent, inherited(c, parent.Organisation), ""
	}
	o, reason := judge(c, route, key)
	if reason != "" && parentID != "" && n.clock.now() < longestTimeout(c) {
		reason = reasonParentUnknown
	}
	return nil, o, reason
}

// inherited returns the organisation of a nested call. The configuration may no longer hold it.
func inherited(c *published.Config, name string) *published.Organisation {
	if name == "" {
		return nil
	}
	if o := c.Organisation(name); o != nil {
		return o
	}
	return &published.Organisation{Name: name}
}

// longestTimeout is the longest time for which a target may be serving a request of a former
// process of the node.
func longestTimeout(c *published.Config) (longest time.Duration) {
	for i := range c.Routes {
		longest = max(longest, c.Routes[i].Timeout)
	}
	return longest
}

// judgeAgain judges the call by the configuration in force, and reports whether it may be sent to
// a target. It must be the last step before that.
func (n *Node) judgeAgain(c *call) bool {
	config := n.view.Load().Config
	if c.nested {
		return true
	}
	if config.Version == c.judgedBy {
		return !c.keyRefused
	}
	c.judgedBy = config.Version
	if len(config.Organisations) == 0 {
		c.organisation, c.keyRefused = nil, false
		return true
	}
	organisation, reason := judge(config, config.Lookup(c.r.Host, c.r.URL.Path), c.key)
	c.organisation, c.keyRefused = organisation, reason != ""
	return !c.keyRefused
}

// identity sets what the node of the target needs to know about the organisation of the call.
func (n *Node) identity(c *call, h *hopRequest) {
	h.KeyHash = c.key.hash
	if c.organisation != nil {
		h.Organisation = c.organisation.Name
	}
	// The node of the target may still have the version before the one that removed the organisations.
	if h.KeyHash != "" || n.hadOrganisations.Load() {
		h.ConfigVersion = c.judgedBy
	}
}

// judgeAtTarget judges a request by the configuration of the target's node, if that is later than
// the one of the caller's node, and reports whether it may be sent to the target.
func (n *Node) judgeAtTarget(h *hopRequest) bool {
	config := n.view.Load().Config
	if config == nil || config.Version <= h.ConfigVersion || h.nested() {
		return true
	}
	if len(config.Organisations) == 0 {
		h.Organisation = ""
		return true
	}
	key := callerKey{hash: h.KeyHash}
	if h.KeyHash == "" {
		key.problem = reasonKeyMissing
	}
	o, reason := judge(config, routeByName(config, h.Route), key)
	h.ConfigVersion, h.Organisation = config.Version, ""
	if o != nil {
		h.Organisation = o.Name
	}
	return reason == ""
}

// priority returns the priority of the call, 0 for the most urgent.
func (c *call) priority() int {
	if c.organisation != nil {
		return c.organisation.Priority
	}
	return c.route.Priority
}

// refusalKey identifies the call among the refused ones. A client retry is of the same organisation
// as the refused request.
func (c *call) refusalKey() uint64 {
	if c.organisation == nil {
		return c.requestIdentity
	}
	return c.requestIdentity ^ xxhash.Sum64String(c.organisation.Name)
}

// routeByName returns the route of a name, or nil.
func routeByName(c *published.Config, name string) *published.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// setOrganisation names the organisation to the target, whatever the caller sent.
func (n *Node) setOrganisation(h http.Header, organisation string) {
	h.Del(n.headers.APIKey)
	h.Del(n.headers.Organisation)
	if organisation != "" {
		h.Set(n.headers.Organisation, organisation)
	}
}

// rejectKey rejects a request for its key before it is assigned to a target.
func (n *Node) rejectKey(w http.ResponseWriter, r *http.Request, id, reason string) {
	if reason == reasonParentUnknown {
		n.logRejected(r, id, http.StatusServiceUnavailable, reason)
		n.refuse(w, reason, notReadyRetryAfter)
		return
	}
	n.logRejected(r, id, http.StatusUnauthorized, reason)
	n.respondKeyError(w, reason)
}

func (n *Node) respondKeyError(w http.ResponseWriter, reason string) {
	w.Header().Set("WWW-Authenticate", n.headers.APIKey)
	n.respondError(w, http.StatusUnauthorized, reason, "the request needs the key of an organisation")
}

// bodyErrorText describes why a body could not be read, without a part of its trailer, which may
// hold a key.
func bodyErrorText(err error) string {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return "malformed trailer"
	}
	return err.Error()
}
