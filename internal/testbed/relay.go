package testbed

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// cutPoll is how often a held copy looks whether its cut was healed.
const cutPoll = 20 * time.Millisecond

// Network decides which zones can reach each other. Zones are told apart by the
// third byte of a loopback address.
type Network struct {
	mu     sync.Mutex
	cut    map[[2]byte]bool
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{cut: map[[2]byte]bool{}, ctx: ctx, cancel: cancel}
}

// Cut drops what the zones a and b send to each other. Connections go silent
// and are not reset, as with a failed link.
func (n *Network) Cut(a, b byte) { n.set(a, b, true) }

// Heal undoes Cut.
func (n *Network) Heal(a, b byte) { n.set(a, b, false) }

func (n *Network) set(a, b byte, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]byte{a, b}] = cut
	n.cut[[2]byte{b, a}] = cut
}

func (n *Network) isCut(a, b byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]byte{a, b}]
}

// Close ends all relays.
func (n *Network) Close() {
	n.cancel()
	n.wg.Wait()
}

// Relay listens on advertised and passes connections to listen, as long as the
// zones of both ends are connected.
func (n *Network) Relay(advertised, listen string) error {
	listener, err := net.Listen("tcp", advertised)
	if err != nil {
		return errors.Wrap(err, "listen for relay")
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.accept(listener, listen)
	}()
	context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	return nil
}

func (n *Network) accept(listener net.Listener, listen string) {
	to := zoneByte(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			n.pass(conn, listen, zoneByte(conn.RemoteAddr()), to)
		}()
	}
}

func (n *Network) pass(conn net.Conn, listen string, from, to byte) {
	defer func() { _ = conn.Close() }()
	if !n.waitConnected(from, to) {
		return
	}
	upstream, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	stop := context.AfterFunc(n.ctx, func() {
		_ = conn.Close()
		_ = upstream.Close()
	})
	defer stop()
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{upstream, conn}, {conn, upstream}} {
		both.Add(1)
		go func() {
			defer both.Done()
			n.copy(pair[0], pair[1], from, to)
		}()
	}
	both.Wait()
}

// waitConnected blocks while the zones are cut off from each other.
func (n *Network) waitConnected(from, to byte) bool {
	for n.isCut(from, to) {
		select {
		case <-n.ctx.Done():
			return false
		case <-time.After(cutPoll):
		}
	}
	return true
}

// copy passes bytes on. A reset of one side resets the other, so that a process
// that died looks dead through the relay too.
func (n *Network) copy(dst, src net.Conn, from, to byte) {
	buf := make([]byte, 32<<10)
	for {
		count, err := src.Read(buf)
		if !n.waitConnected(from, to) {
			return
		}
		if count > 0 {
			if _, werr := dst.Write(buf[:count]); werr != nil {
				reset(src)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func zoneByte(addr net.Addr) byte {
	return addr.(*net.TCPAddr).IP.To4()[2]
}
