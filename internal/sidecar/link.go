package sidecar

import (
	"math"
	"sync"
	"time"
)

// linkMeter estimates the utilization of the machine's network link from the bodies that
// the node receives and sends.
type linkMeter struct {
	now  func() time.Duration
	mbps float64

	mu        sync.Mutex
	updatedAt time.Duration
	in, out   float64
}

// linkDecayTime is the time constant of the exponential decay: the weight of past bytes
// falls to about a third in it. It is short enough to show a burst of uploads.
const linkDecayTime = 500 * time.Millisecond

func (m *linkMeter) received(bytes int64) { m.add(float64(bytes), 0) }

func (m *linkMeter) sent(bytes int64) { m.add(0, float64(bytes)) }

func (m *linkMeter) add(in, out float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	m.in += in
	m.out += out
}

func (m *linkMeter) decay() {
	now := m.now()
	keep := math.Exp(-float64(now-m.updatedAt) / float64(linkDecayTime))
	m.in, m.out, m.updatedAt = m.in*keep, m.out*keep, now
}

// utilization returns the utilization of the busier direction, from 0 to 1.
func (m *linkMeter) utilization() float64 {
	if m.mbps <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	const bitsPerByte, bitsPerMbit = 8, 1e6
	perSecond := max(m.in, m.out) / linkDecayTime.Seconds()
	return min(perSecond*bitsPerByte/(m.mbps*bitsPerMbit), 1)
}
