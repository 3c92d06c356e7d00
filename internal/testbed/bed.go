package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Ports of the processes; each process has an address of its own.
const (
	portPlatform = 7400
	portRPC      = 7001
	portCall     = 7002
	portAdmin    = 7003
	portOutbound = 7004
	portCaller   = 8000
	portTarget   = 9000
)

// firstHost and lastHost bound the last byte of the addresses of members.
const (
	firstHost = 10
	lastHost  = 252
)

// startTimeout bounds the wait for a process to serve.
const startTimeout = 20 * time.Second

// Bed is a set of processes on loopback addresses 127.<run>.<zone>.<host>.
type Bed struct {
	// Dir holds settings and logs.
	Dir string
	// Bin holds the binaries.
	Bin     string
	Network *Network
	// Direct leaves the relays out, so that a measurement does not include them.
	// Zones cannot be cut then. It is set before the first start.
	Direct bool

	run      byte
	platform *Process
	nodes    []*Member
	tools    []*Process
}

// Member is a node with the target beside it.
type Member struct {
	Name    string
	Zone    string
	ZoneID  byte
	Service string
	Version string
	Node    *Process
	Target  *Process

	bed  *Bed
	host byte
}

// MemberOptions describe a member to start.
type MemberOptions struct {
	Name, Zone       string
	ZoneID           byte
	Service, Version string
	Slots            int
	// NodeExtra and TargetExtra are appended to the settings files.
	NodeExtra, TargetExtra string
	// Seeds are members to join through.
	Seeds []*Member
	// Downstream are the paths that the target calls while it serves.
	Downstream []string
}

// New returns an empty bed with files in dir. Addresses of parallel runs differ
// with high probability; a clash is found at the first listener.
func New(dir, bin string) *Bed {
	return &Bed{Dir: dir, Bin: bin, Network: NewNetwork(), run: byte(16 + rand.IntN(200))}
}

func (b *Bed) ip(zone, host byte) string {
	return fmt.Sprintf("127.%d.%d.%d", b.run, zone, host)
}

// relay passes connections on, unless the bed has no relays.
func (b *Bed) relay(advertised, listen string) error {
	if b.Direct {
		return nil
	}
	return b.Network.Relay(advertised, listen)
}

// platformAddress is where nodes reach the log service.
func (b *Bed) platformAddress() string {
	if b.Direct {
		return address(b.ip(0, 2), portPlatform)
	}
	return address(b.ip(0, 3), portPlatform)
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// PlatformURL is the platform's own URL, which no cut concerns.
func (b *Bed) PlatformURL() string { return "http://" + address(b.ip(0, 2), portPlatform) }

// StartPlatform starts the log service with extra settings.
func (b *Bed) StartPlatform(extra string) error {
	listen := address(b.ip(0, 2), portPlatform)
	path, err := b.write("platform", fmt.Sprintf("listen = %q\n%s", listen, extra))
	if err != nil {
		return err
	}
	if b.platform, err = b.exec("heathercroft-platform", "platform", path); err != nil {
		return err
	}
	if err := b.relay(b.platformAddress(), listen); err != nil {
		return err
	}
	return WaitFor(startTimeout, func() error { return get(b.PlatformURL() + "/control") })
}

// Platform returns the process of the log service.
func (b *Bed) Platform() *Process { return b.platform }

// ControlPlatform switches faults of the log service.
func (b *Bed) ControlPlatform(body any) error { return Post(b.PlatformURL()+"/control", body, nil) }

// Start starts a node and the target beside it, and waits for neither. A member
// without a service has no target.
func (b *Bed) Start(o MemberOptions) (*Member, error) {
	host, err := b.nextHost(o.ZoneID)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Name: o.Name, Zone: o.Zone, ZoneID: o.ZoneID, Service: o.Service, Version: o.Version,
		bed: b, host: host,
	}
	b.nodes = append(b.nodes, m)
	for _, port := range []int{portRPC, portCall} {
		if err := b.relay(address(m.advertisedIP(), port), address(m.ip(), port)); err != nil {
			return nil, err
		}
	}
	if _, err := b.write("node-"+m.Name, m.nodeSettings(o)); err != nil {
		return nil, err
	}
	if _, err := b.write("target-"+m.Name, m.targetSettings(o)); err != nil {
		return nil, err
	}
	if err := m.StartNode(); err != nil {
		return nil, err
	}
	if o.Service == "" {
		return m, nil
	}
	return m, m.StartTarget()
}

// nextHost returns the address byte of the next member of a zone. Each member
// takes two addresses.
func (b *Bed) nextHost(zone byte) (byte, error) {
	host := firstHost
	for _, m := range b.nodes {
		if m.ZoneID == zone {
			host += 2
		}
	}
	if host > lastHost {
		return 0, errors.Newf("zone %d has no address left", zone)
	}
	return byte(host), nil
}

func (m *Member) nodeSettings(o MemberOptions) string {
	var out bytes.Buffer
	ip, advertised := m.ip(), m.advertisedIP()
	fmt.Fprintf(&out, "[node]\nid = %q\nzone = %q\nregion = \"test\"\n", m.Name, m.Zone)
	fmt.Fprintf(&out, "[listen]\ncaller = %q\nrpc = %q\ncall = %q\nadmin = %q\noutbound = %q\n", address(ip, portCaller),
		address(ip, portRPC), address(ip, portCall), address(ip, portAdmin), address(ip, portOutbound))
	fmt.Fprintf(&out, "[advertise]\nrpc = %q\ncall = %q\n", address(advertised, portRPC), address(advertised, portCall))
	fmt.Fprintf(&out, "[platform]\nurl = %q\n", "http://"+m.bed.platformAddress())
	out.WriteString("[peers]\nseeds = [")
	for _, s := range o.Seeds {
		fmt.Fprintf(&out, "%q, ", address(s.advertisedIP(), portRPC))
	}
	out.WriteString("]\n" + o.NodeExtra)
	return out.String()
}

func (m *Member) targetSettings(o MemberOptions) string {
	var out bytes.Buffer
	fmt.Fprintf(&out, "name = %q\nzone = %q\nservice = %q\nversion = %q\nlisten = %q\n", m.Name, m.Zone, o.Service, o.Version, address(m.ip(), portTarget))
	fmt.Fprintf(&out, "announce_url = %q\noutbound_url = %q\n", m.AdminURL(), "http://"+address(m.ip(), portOutbound))
	if o.Slots > 0 {
		fmt.Fprintf(&out, "slots = %d\n", o.Slots)
	}
	out.WriteString("downstream = [")
	for _, path := range o.Downstream {
		fmt.Fprintf(&out, "%q, ", path)
	}
	out.WriteString("]\n" + o.TargetExtra)
	return out.String()
}

// StartNode starts the node process, again if it had ended.
func (m *Member) StartNode() error {
	p, err := m.bed.exec("heathercroft-node", "node-"+m.Name, m.bed.path("node-"+m.Name))
	m.Node = p
	return err
}

// StartTarget starts the target process, again if it had ended.
func (m *Member) StartTarget() error {
	p, err := m.bed.exec("heathercroft-target", "target-"+m.Name, m.bed.path("target-"+m.Name))
	m.Target = p
	return err
}

func (m *Member) ip() string { return m.bed.ip(m.ZoneID, m.host) }

func (m *Member) advertisedIP() string {
	if m.bed.Direct {
		return m.ip()
	}
	return m.bed.ip(m.ZoneID, m.host+1)
}

// CallerURL is where callers reach the node.
func (m *Member) CallerURL() string { return "http://" + address(m.ip(), portCaller) }

// AdminURL is where operators reach the node.
func (m *Member) AdminURL() string { return "http://" + address(m.ip(), portAdmin) }

// RPC is where other nodes reach the node, without a relay.
func (m *Member) RPC() netip.AddrPort { return netip.MustParseAddrPort(address(m.ip(), portRPC)) }

// TargetURL is the target's own URL.
func (m *Member) TargetURL() string { return "http://" + address(m.ip(), portTarget) }

// ControlTarget switches faults of the target.
func (m *Member) ControlTarget(body any) error { return Post(m.TargetURL()+"/control", body, nil) }

// WaitReady waits until the node serves calls.
func (m *Member) WaitReady(limit time.Duration) error {
	return errors.Wrapf(WaitFor(limit, func() error { return get(m.AdminURL() + "/heathercroft/v1/ready") }), "node %s", m.Name)
}

// Members returns all members that were started.
func (b *Bed) Members() []*Member { return b.nodes }

// Close ends all processes that the bed started, and its relays.
func (b *Bed) Close() {
	for _, m := range b.nodes {
		for _, p := range []*Process{m.Target, m.Node} {
			if p != nil {
				_ = p.Continue()
				p.Kill()
			}
		}
	}
	for _, p := range b.tools {
		p.Kill()
	}
	if b.platform != nil {
		_ = b.platform.Continue()
		b.platform.Kill()
	}
	b.Network.Close()
}

func (b *Bed) path(name string) string { return filepath.Join(b.Dir, name+".toml") }

func (b *Bed) write(name, content string) (string, error) {
	path := b.path(name)
	return path, errors.Wrap(os.WriteFile(path, []byte(content), 0o644), "write settings")
}

func (b *Bed) exec(binary, name, settings string) (*Process, error) {
	return Start(b.Dir, filepath.Join(b.Bin, binary), name, "--settings", settings)
}

// WaitFor repeats a check until it succeeds or the limit ends, and returns its
// last error then.
func WaitFor(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "not within %s", limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true},
}

func get(url string) error { return Get(url, nil) }

// Get fetches JSON into out, which may be nil. A status of 300 or above is an error.
func Get(url string, out any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return decode(resp, out)
}

// Post sends JSON and decodes the answer into out, which may be nil.
func Post(url string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return decode(resp, out)
}

func decode(resp *http.Response, out any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= 300 {
		return errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}
