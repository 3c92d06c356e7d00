package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards the connections of other nodes to a port of a machine. A cut machine's proxies refuse new
// connections and have reset the old ones; connections that a cut machine opens to others are reset too.
type proxy struct {
	address, to string
	// isCut reports whether the machine with an address is cut off.
	isCut func(ip string) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]string
}

func newProxy(address, to string, isCut func(string) bool) (*proxy, error) {
	p := &proxy{address: address, to: to, isCut: isCut, conns: map[*net.TCPConn]string{}}
	return p, p.listen()
}

func (p *proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return nil
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) forward(in *net.TCPConn) {
	ip := in.RemoteAddr().(*net.TCPAddr).IP.String()
	raw, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil || p.isCut(ip) {
		reset(in)
		return
	}
	out := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[in], p.conns[out] = ip, ip
	p.mu.Unlock()
	var both sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{in, out}, {out, in}} {
		both.Go(func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].CloseWrite()
		})
	}
	both.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// refuse closes the listener, so that new connections are refused.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// resetFrom resets the connections of a machine, those of all with "".
func (p *proxy) resetFrom(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.conns {
		if ip == "" || ip == from {
			reset(c)
		}
	}
}
