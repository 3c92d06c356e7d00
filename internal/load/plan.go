package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"heathercroft.example/heathercroft/internal/content"
)

// Kind is what a call does.
type Kind string

// The kinds of calls.
const (
	// KindRead is a GET.
	KindRead Kind = "read"
	// KindKeyed is a POST with an Idempotency-Key.
	KindKeyed Kind = "keyed"
	// KindUpload is a POST without a key.
	KindUpload Kind = "upload"
)

// Via is the way of a call to its target.
type Via string

// The ways of a call.
const (
	ViaNode   Via = "node"
	ViaDirect Via = "direct"
)

// Repeat is whether and when a keyed call is sent a second time.
type Repeat string

// The repeats of a keyed call.
const (
	RepeatNever      Repeat = "never"
	RepeatConcurrent Repeat = "concurrent"
	RepeatAfter      Repeat = "after"
)

// Call is one planned call.
type Call struct {
	// ID is the X-Request-Id.
	ID string
	// Key is the Idempotency-Key of a keyed call.
	Key    string
	Kind   Kind
	Via    Via
	Path   string
	Repeat Repeat
	// Start is the intended send time, counted from the start of the run.
	Start time.Duration
	// First is the index of the first URL to use.
	First int
	// BodyBytes is the size of the request body, which is derived from BodySeed.
	BodyBytes int64
	BodySeed  string
	// BodyHash is the xxhash64 of the request body.
	BodyHash uint64
}

// planner draws the calls of a run. Arrivals are a Poisson process, as those of
// many independent callers are.
type planner struct {
	settings *Settings
	run      string
	random   *rand.Rand
	count    int
	at       time.Duration
}

func newPlanner(s *Settings, run string, seed uint64) *planner {
	return &planner{settings: s, run: run, random: rand.New(rand.NewPCG(seed, 0))}
}

// next returns the next call, or false at the end of the run.
func (p *planner) next() (Call, bool) {
	p.at += time.Duration(p.random.ExpFloat64() / p.settings.Rate * float64(time.Second))
	if p.at >= p.settings.Duration.Std() {
		return Call{}, false
	}
	p.count++
	c := Call{
		ID:     p.run + "-" + strconv.Itoa(p.count),
		Kind:   p.kind(),
		Via:    p.via(),
		Path:   p.settings.Paths[p.count%len(p.settings.Paths)],
		Repeat: RepeatNever,
		Start:  p.at,
		First:  p.random.IntN(1 << 30),
	}
	if c.Kind == KindKeyed {
		c.Key = p.run + "-key-" + strconv.Itoa(p.count)
		c.Repeat = p.repeat(c.Via)
	}
	c.BodySeed, c.BodyBytes = p.body(c)
	c.BodyHash = content.Hash(c.BodySeed, c.BodyBytes)
	return c, true
}

// body returns the seed and size of the request body. All requests under one key
// carry one body.
func (p *planner) body(c Call) (seed string, size int64) {
	switch c.Kind {
	case KindKeyed:
		return c.Key, p.settings.Mix.KeyedBytes
	case KindUpload:
		return c.ID, p.settings.Mix.UploadBytes
	default:
		return c.ID, 0
	}
}

// lookAhead is how many calls are planned before their time, so that hashing a
// large body does not delay the calls after it.
const lookAhead = 64

// plan sends the calls of a run until its end or the end of ctx, and closes the channel.
func (p *planner) plan(ctx context.Context) <-chan Call {
	calls := make(chan Call, lookAhead)
	go func() {
		defer close(calls)
		for {
			c, ok := p.next()
			if !ok {
				return
			}
			select {
			case calls <- c:
			case <-ctx.Done():
				return
			}
		}
	}()
	return calls
}

func (p *planner) kind() Kind {
	m := p.settings.Mix
	drawn := p.random.Float64() * (m.Read + m.Keyed + m.Upload)
	switch {
	case drawn < m.Read:
		return KindRead
	case drawn < m.Read+m.Keyed:
		return KindKeyed
	default:
		return KindUpload
	}
}

func (p *planner) via() Via {
	drawn := p.random.Float64()
	if len(p.settings.Nodes) == 0 || (len(p.settings.Direct) > 0 && drawn < p.settings.DirectShare) {
		return ViaDirect
	}
	return ViaNode
}

// repeat draws the repeat of a keyed call. A target executes what it is sent, so
// that only calls through nodes are repeated.
func (p *planner) repeat(via Via) Repeat {
	drawn := p.random.Float64()
	switch {
	case via == ViaDirect:
		return RepeatNever
	case drawn < p.settings.Mix.ConcurrentShare:
		return RepeatConcurrent
	case drawn < p.settings.Mix.ConcurrentShare+p.settings.Mix.RepeatShare:
		return RepeatAfter
	default:
		return RepeatNever
	}
}
