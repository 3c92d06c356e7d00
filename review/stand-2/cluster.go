package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/platform/standin"
)

// Ports are the same on all machines, which differ by their loopback address.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portStore    = 8309
	portPeers    = 7620
	lastPort     = 7635
)

// Bounds of the deployment, as in the settings of a small one.
const (
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	heartbeatInterval = 870 * time.Millisecond
	slots             = 6
)

const settingsFormat = `node_name = "%[1]s"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "%[2]s"
zone = "%[3]s"
region = "kz-south"
port_range = [%[4]d,%[5]d]
seeds = []
bootstrap = true
in_loss_budget = false
discovery = "static"
entry = "static"
heartbeat_ms = %[6]d
contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","max_stretch_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=62","expose_share=0.1","expose_slack=50","rollback_ms=5000","recover_s=15"]
app_addr = "%[2]s:%[7]d"
service = "%[8]s"
[zones]
kz-south-a = "kz-south"
kz-south-b = "kz-south"
[listen]
inbound = "%[2]s:%[9]d"
outbound = "%[2]s:%[10]d"
ready = "%[2]s:%[11]d"
control = "%[2]s:%[12]d"
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[platform]
address = "%[13]s"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// machine is a machine with a node and a place for a worker.
type machine struct {
	name, ip, zone, service string
	settings, log           string
	process                 *exec.Cmd
	ended                   chan struct{}
	// startedAt is when its node was started last, in nanoseconds of Unix time, 0 while it is down.
	startedAt atomic.Int64
}

// inTouch reports whether nothing was done to the machine for contactTime. Its links and the store
// are never disturbed here.
func (m *machine) inTouch(at time.Time) bool {
	started := m.startedAt.Load()
	return started > 0 && at.UnixNano()-started >= int64(contactTime)
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// cluster is a deployment on loopback addresses.
type cluster struct {
	dir      string
	program  string
	store    *standin.Store
	storeAt  string
	server   *http.Server
	machines []*machine
	version  int
	record   *record

	// mu guards the start and the end of processes. closed is set when no further one may start.
	mu     sync.Mutex
	closed bool
}

// record collects what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// report writes a line of the result, also to standard output.
func (r *record) report(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

// newCluster starts the store on a free loopback subnet and prepares one machine per service.
func newCluster(dir, program string, rec *record, services []string) (*cluster, error) {
	c := &cluster{dir: dir, program: program, store: standin.New(), record: rec}
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
		c.storeAt = fmt.Sprintf("%s.250:%d", subnet, portStore)
		l, err := net.Listen("tcp", c.storeAt)
		if err != nil {
			continue
		}
		c.machines = nil
		free := true
		for i, service := range services {
			m := &machine{
				name: fmt.Sprintf("m%d", i+1), ip: fmt.Sprintf("%s.%d", subnet, i+1), service: service,
				zone: []string{"kz-south-a", "kz-south-b"}[i%2],
			}
			m.settings, m.log = filepath.Join(dir, m.name+".toml"), filepath.Join(dir, m.name+".log")
			for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, portPeers, portPeers + 1} {
				free = free && isFree(m.address(port))
			}
			c.machines = append(c.machines, m)
		}
		if !free {
			_ = l.Close()
			continue
		}
		c.server = &http.Server{Handler: c.store, ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = c.server.Serve(l) }()
		return c, nil
	}
	return nil, fmt.Errorf("no free loopback subnet")
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// startNode starts the node of a machine with the command of the deploy file.
func (c *cluster) startNode(m *machine) error {
	text := fmt.Sprintf(settingsFormat, m.name, m.ip, m.zone, portPeers, lastPort, heartbeatInterval.Milliseconds(), portApp, m.service,
		portInbound, portOutbound, portReady, portControl, c.storeAt)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(c.program)
	p.Env = []string{"HEATHERCROFT_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	m.process, m.ended = p, ended
	m.startedAt.Store(time.Now().UnixNano())
	c.record.add("node %s started, pid %d", m.name, p.Process.Pid)
	return nil
}

// startNodes starts all nodes and waits until they are ready.
func (c *cluster) startNodes() error {
	for _, m := range c.machines {
		if err := c.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + m.address(portReady) + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// kill kills the nodes of all machines.
func (c *cluster) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killNodes()
}

// killNodes kills all nodes. mu must be held.
func (c *cluster) killNodes() {
	for _, m := range c.machines {
		m.startedAt.Store(0)
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
	}
	for _, m := range c.machines {
		if m.process != nil {
			<-m.ended
		}
	}
}

// close ends all processes that the cluster started.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.killNodes()
	_ = c.server.Close()
}

// endedEarly names the nodes that have ended by themselves.
func (c *cluster) endedEarly() (names []string) {
	for _, m := range c.machines {
		select {
		case <-m.ended:
			names = append(names, m.name)
		default:
		}
	}
	return names
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS                         int
}

// publish writes a configuration as the operator does.
func (c *cluster) publish(services []string, routes []route) {
	c.version += 3
	resources := []map[string]any{}
	add := func(kind, name string, spec map[string]any) {
		meta := map[string]any{}
		if name != "" {
			meta["name"] = name
		}
		resources = append(resources, map[string]any{"resource_type": kind, "metadata": meta, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host": r.host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.timeoutMS / 2,
			"priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		add("services", s, map[string]any{"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	add("limits", "", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", c.version), "resources": resources})
	if err != nil {
		panic("a configuration is always encodable: " + err.Error())
	}
	c.store.Put("keyed.op", "config", text)
	c.record.add("configuration %08x confirmed", c.version)
}
