package sidecar

import (
	"sync"
	"time"
)

// maxCountedOrganisations is the number of organisations with metrics: those that sent or got
// requests most recently.
const maxCountedOrganisations = 100

// organisationCounts are the metrics of an organisation at a node.
type organisationCounts struct {
	// Requests and Rejected are counted at the node of the caller: requests with a valid key, and
	// those of them that did not run.
	Requests int64 `json:"requests"`
	Rejected int64 `json:"rejected"`
	// TargetRequests are passed to the local target, ShareRejected refused by the share of the
	// organisation, and QueueWaitMS is the sum of the waits of both.
	TargetRequests int64   `json:"target_requests"`
	ShareRejected  int64   `json:"share_rejected"`
	QueueWaitMS    float64 `json:"queue_wait_ms"`

	lastUsed uint64
}

// organisationMetrics holds the metrics of the organisations that were active most recently.
type organisationMetrics struct {
	mu     sync.Mutex
	uses   uint64
	byName map[string]*organisationCounts
}

// count changes the metrics of an organisation, if there is one.
func (m *organisationMetrics) count(name string, change func(*organisationCounts)) {
	if name == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.byName[name]
	if c == nil {
		if m.byName == nil {
			m.byName = map[string]*organisationCounts{}
		}
		if len(m.byName) >= maxCountedOrganisations {
			m.evict()
		}
		c = &organisationCounts{}
		m.byName[name] = c
	}
	m.uses++
	c.lastUsed = m.uses
	change(c)
}

// evict removes the organisation that was inactive for longest. mu must be held.
func (m *organisationMetrics) evict() {
	oldest := ""
	for name, c := range m.byName {
		if oldest == "" || c.lastUsed < m.byName[oldest].lastUsed {
			oldest = name
		}
	}
	delete(m.byName, oldest)
}

// snapshot returns the metrics by name.
func (m *organisationMetrics) snapshot() map[string]organisationCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]organisationCounts, len(m.byName))
	for name, c := range m.byName {
		out[name] = *c
	}
	return out
}

// countAdmission counts the decision of the gate about a request for the local target.
func (m *organisationMetrics) countAdmission(name string, waited time.Duration, refused *refusal) {
	m.count(name, func(c *organisationCounts) {
		c.QueueWaitMS += milliseconds(waited)
		if refused != nil && refused.reason == reasonShare {
			c.ShareRejected++
		}
	})
}

// countOrganisation changes the metrics of the organisation whose caller sent the call.
func (c *call) countOrganisation(m *metrics, change func(*organisationCounts)) {
	if c.organisation != nil && !c.nested {
		m.organisations.count(c.organisation.Name, change)
	}
}
