// Package descriptors keeps file descriptors of a process free for the connections that it
// needs itself, by limiting those of its callers.
package descriptors

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// reserved is the number of descriptors that are not for callers: connections to and from
	// other nodes, which are under 800 in a mesh of 167, the target, the store, the listeners
	// and the readiness check. Under a limit of twice as many, half of it is reserved.
	reserved = 1024
	// marginParts is the part of the limit, as a divisor, that is free in a process with
	// enough descriptors.
	marginParts = 16
)

// SystemLimit returns the largest number of descriptors that the operating system lets the
// process have open.
func SystemLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit of file descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// Open returns the number of open descriptors of the process.
func Open() (int, error) {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0, errors.Wrap(err, "count descriptors")
	}
	defer func() { _ = dir.Close() }()
	names, err := dir.Readdirnames(-1)
	return len(names), errors.Wrap(err, "count descriptors")
}

// State is the use of descriptors.
type State struct {
	// Open and Limit are those of the process.
	Open, Limit int
	// Callers and CallerLimit count the connections of callers.
	Callers, CallerLimit int
}

// short reports whether the process should get no more callers: they have all of their
// connections, or the descriptors that are reserved are nearly used up too. A process that
// is short remains so until a margin is free.
func (s State) short(before bool) bool {
	callers, open := s.CallerLimit, s.Limit-s.Limit/marginParts
	if before {
		callers -= s.CallerLimit / marginParts
		open -= s.Limit / marginParts
	}
	return s.CallerLimit > 0 && s.Callers >= callers || s.Limit > 0 && s.Open >= open
}

// Guard limits the connections of callers.
type Guard struct {
	limit, callerLimit int
	callers            atomic.Int64
	free               chan struct{}

	mu    sync.Mutex
	state State
	short bool
}

// NewGuard returns a guard for a process that may have limit descriptors and maxCallers
// connections of callers. A limit of 0 means that there is none.
func NewGuard(limit, maxCallers int) *Guard {
	g := &Guard{limit: limit, callerLimit: maxCallers}
	if limit > 0 {
		g.callerLimit = max(limit-reserved, limit/2)
		if maxCallers > 0 {
			g.callerLimit = min(g.callerLimit, maxCallers)
		}
	}
	g.free = make(chan struct{}, g.callerLimit)
	return g
}

// Check counts the open descriptors. It reports whether the process is short of them and
// whether that has changed since the last call. With an error, the state holds the
// connections of callers only.
func (g *Guard) Check() (s State, short, changed bool, err error) {
	open := 0
	if g.limit > 0 {
		if open, err = Open(); errors.Is(err, syscall.EMFILE) {
			open, err = g.limit, nil
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = State{Open: open, Limit: g.limit, Callers: int(g.callers.Load()), CallerLimit: g.callerLimit}
	before := g.short
	g.short = g.state.short(before)
	return g.state, g.short, g.short != before, err
}

// checkInterval is the time between two checks of Watch.
const checkInterval = time.Second

// Watch checks the descriptors until ctx ends, and logs when the process becomes short of
// them and when it has enough again.
func (g *Guard) Watch(ctx context.Context, logger *slog.Logger) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	uncounted := false
	for {
		s, short, changed, err := g.Check()
		if err != nil && !uncounted {
			logger.Warn("descriptors_uncounted", "error", err.Error())
		}
		uncounted = err != nil
		fields := []any{"open", s.Open, "limit", s.Limit, "callers", s.Callers, "caller_limit", s.CallerLimit}
		switch {
		case changed && short:
			logger.Warn("descriptors_short", fields...)
		case changed:
			logger.Info("descriptors_regained", fields...)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Short reports whether the process is short of descriptors, as of the last Check, or the
// callers have all of their connections now.
func (g *Guard) Short() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.short || g.callerLimit > 0 && int(g.callers.Load()) >= g.callerLimit
}

// State returns the state of the last Check.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// Callers returns a listener for callers. While they have all of their connections, it
// accepts no other.
func (g *Guard) Callers(l net.Listener) net.Listener {
	if g.callerLimit == 0 {
		return l
	}
	return &listener{Listener: l, guard: g, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	guard     *Guard
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.guard.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.guard.free
		return nil, err
	}
	l.guard.callers.Add(1)
	return &conn{Conn: c, guard: l.guard}, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	guard *Guard
	once  sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if tracked, ok := c.Conn.(interface{ OnRelease(f func()) }); ok {
		tracked.OnRelease(c.release)
		return errors.Wrap(c.Conn.Close(), "close")
	}
	defer c.release()
	return errors.Wrap(c.Conn.Close(), "close")
}

// release makes room for another caller.
func (c *conn) release() {
	c.once.Do(func() {
		c.guard.callers.Add(-1)
		<-c.guard.free
	})
}

// CloseWrite implements the interface with which net/http closes a connection without
// resetting it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "close for writing")
	}
	return errors.New("the connection cannot be closed for writing only")
}
