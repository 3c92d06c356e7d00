package quota_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/quota"
)

// skewedCaps returns the caps of organisations whose usual rates follow a power law with the
// exponent 1.2 and add up to perSecond, and those rates. Caps are 1.6 times the usual rate.
func skewedCaps(count int, perSecond float64) (caps map[string]quota.Cap, rates map[string]float64) {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	caps, rates = map[string]quota.Cap{}, map[string]float64{}
	for i := range count {
		name := fmt.Sprintf("organisation-%02d", i)
		rates[name] = perSecond * math.Pow(float64(i+1), -1.2) / sum
		caps[name] = quota.Cap{Rate: 1.6 * rates[name], Burst: 1.6 * rates[name]}
	}
	return caps, rates
}

// envelope is a message of JSON-RPC 2.0.
type envelope struct {
	Method  string `json:"method,omitempty"`
	Params  any    `json:"params,omitempty"`
	Result  any    `json:"result,omitempty"`
	ID      int    `json:"id"`
	Version string `json:"jsonrpc"`
}

// traffic counts messages and their bytes.
type traffic struct{ leases, takes, leaseBytes, takeBytes int }

func (c *traffic) count(t testing.TB, method string, message any) {
	e := envelope{Method: method, ID: 123_456, Version: "2.0"}
	if method == "" {
		e.Result = message
	} else {
		e.Params = message
	}
	text, err := json.Marshal(e)
	require.NoError(t, err)
	// The length precedes each message.
	bytes := len(text) + 2
	switch message.(type) {
	case quota.LeaseRequest, quota.LeaseReply:
		c.leases, c.leaseBytes = c.leases+1, c.leaseBytes+bytes
	default:
		c.takes, c.takeBytes = c.takes+1, c.takeBytes+bytes
	}
}

// BenchmarkMessages measures the messages, requests and replies, of a mesh that gets 900 requests
// a second of 84 organisations, without the headers of TCP.
func BenchmarkMessages(b *testing.B) {
	for _, nodes := range []int{83, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			var c traffic
			var rejected, requests int
			const warm, length = 5 * time.Second, 10 * time.Second
			for range b.N {
				caps, rates := skewedCaps(84, 900)
				s := newSimulation(5, nodes, caps)
				s.run(warm)
				for _, o := range slices.Sorted(maps.Keys(rates)) {
					s.load(o, rates[o], warm+length, s.anyNode)
				}
				s.encoded = func(method string, message any) { c.count(b, method, message) }
				s.run(warm + length)
				for _, v := range s.verdicts {
					rejected += v[quota.OverCap] + v[quota.Unknown]
					requests += v[quota.OverCap] + v[quota.Unknown] + v[quota.Admitted]
				}
			}
			seconds := length.Seconds() * float64(b.N)
			b.ReportMetric(float64(c.leases)/seconds, "lease-messages/s")
			b.ReportMetric(float64(c.leaseBytes)/seconds, "lease-B/s")
			b.ReportMetric(float64(c.takes)/seconds, "take-messages/s")
			b.ReportMetric(float64(c.takeBytes)/seconds, "take-B/s")
			b.ReportMetric(float64(c.leaseBytes+c.takeBytes)/seconds/float64(nodes), "B/node/s")
			b.ReportMetric(100*float64(rejected)/float64(requests), "%rejected")
		})
	}
}

// BenchmarkTick measures a round of the lease loop of an allocator, without the messages.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{83, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			n := newNode(1, nodes)
			now := 4 * time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Millisecond
				for _, call := range n.Tick(now) {
					n.LeaseAnswered(now, call, quota.LeaseReply{Share: 1 / float64(nodes), Lent: call.Request.Slots})
				}
			}
		})
	}
}

// BenchmarkTake measures a grant at the allocator.
func BenchmarkTake(b *testing.B) {
	n := newNode(1, 3)
	onlyAllocator(n, 0)
	for _, call := range n.Tick(4 * time.Second) {
		n.LeaseAnswered(4*time.Second, call, quota.LeaseReply{Share: 1.0 / 3, Lent: call.Request.Slots})
	}
	now := 4 * time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Nanosecond
		n.HandleTake(now, quota.TakeRequest{Organisation: "org", Wanted: 1})
	}
}

// Guards against messages that grow with the square of the number of nodes, and against more than
// one message for a request.
func TestMessagesAreBounded(t *testing.T) {
	const nodes, warm, length = 40, 5 * time.Second, 5 * time.Second
	caps, rates := skewedCaps(84, 2000)
	s := newSimulation(5, nodes, caps)
	s.run(warm)
	for _, o := range slices.Sorted(maps.Keys(rates)) {
		s.load(o, 5*rates[o], warm+length, s.anyNode)
	}
	leases, takes := s.leases, s.takes
	s.run(warm + length)
	// At most one request in each renewal interval from each of SlotCount allocators to each node.
	require.LessOrEqual(t, float64(s.leases-leases), quota.SlotCount*nodes*length.Seconds()/quota.RenewInterval.Seconds()*1.1)
	requests := 0
	for _, v := range s.verdicts {
		requests += v[quota.OverCap] + v[quota.Unknown] + v[quota.Admitted]
	}
	t.Logf("%d requests, %d takes", requests, s.takes-takes)
	require.LessOrEqual(t, s.takes-takes, requests)
}

// Guards against messages that grow with the requests of an organisation far over its cap.
func TestMessagesOfALargeOrganisationAreBounded(t *testing.T) {
	const warm, length = 5 * time.Second, 5 * time.Second
	s := newSimulation(5, 9, map[string]quota.Cap{"org": {Rate: 500, Burst: 500}})
	s.run(warm)
	one := s.nodes[0]
	if one.quota.OwnedSlots()&(1<<quota.SlotOf("org")) != 0 {
		one = s.nodes[1]
	}
	s.load("org", 3000, warm+length, func() *simNode { return one })
	takes := s.takes
	s.run(warm + length)
	t.Logf("%d takes, %v", s.takes-takes, s.verdicts["org"])
	require.LessOrEqual(t, s.takes-takes, int(110*length.Seconds()))
	require.GreaterOrEqual(t, s.verdicts["org"][quota.Admitted], int(500*length.Seconds()))
}
