package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/platform/standin"
)

// Ports of each machine. Machines have loopback addresses of their own.
const (
	portInbound, portTarget, portReady, portOutbound, portControl = 8300, 8301, 8302, 8304, 8306
	portPeers, portLast, portStore                                = 7620, 7635, 8309
)

// heartbeat is the interval of the workers' pings, as in the settings of a small deployment.
const heartbeat = 870 * time.Millisecond

// cluster is a store, the machines and the record of what happens.
type cluster struct {
	sidecar, dir, subnet string
	store                *standin.Store
	record               *record
	machines             []*machine
	// arguments are those of the next process.
	arguments []string

	// mu guards the start and the end of processes. closed is set when no further one may start.
	mu     sync.Mutex
	closed bool
}

// machine is a node process and the worker beside it.
type machine struct {
	name, ip string
	process  *testbed.Process
	worker   *worker
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func newCluster(sidecar string, r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{sidecar: sidecar, dir: dir, store: standin.New(), record: r}
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
		l, err := net.Listen("tcp", c.storeAddress())
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, c.store) }()
		return c, nil
	}
	return nil, errors.New("no free loopback subnet")
}

func (c *cluster) storeAddress() string { return fmt.Sprintf("%s.250:%d", c.subnet, portStore) }

// put writes as the operator does.
func (c *cluster) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	c.store.Put("keyed.op", key, data)
	c.record.line("operator wrote op/%s %s", key, data)
}

// resource is an entry of a configuration.
func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"resource_type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// limits are those that `fleetbench wire` shows.
func limits() map[string]any {
	return resource("limits", "limits", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
}

// add starts a machine with a worker.
func (c *cluster) add(w *worker) (*machine, error) {
	host := 10 + len(c.machines)
	m := &machine{name: fmt.Sprintf("sidecar-%d", host), ip: fmt.Sprintf("%s.%d", c.subnet, host), worker: w}
	text := fmt.Sprintf(`node_name = %q
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = "kz-south-a"
region = "kz-south"
port_range = [%d,%d]
seeds = []
bootstrap = true
heartbeat_ms = %d
bounds = ["seed_lag_s=3","addr_reuse_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","max_stretch_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=62","expose_share=0.1","expose_slack=50","rollback_ms=5000","recover_s=15"]
app_addr = %q
service = %q
[zones]
kz-south-a = "kz-south"
[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
`, m.name, m.ip, portPeers, portLast, heartbeat.Milliseconds(), m.at(portTarget), w.service,
		m.at(portInbound), m.at(portOutbound), m.at(portReady), m.at(portControl), c.storeAddress())
	path := filepath.Join(c.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := w.start(c, m); err != nil {
		return nil, err
	}
	if err := c.startNode(m, path); err != nil {
		w.stop()
		return nil, err
	}
	c.record.line("%s starts, process %d, with worker %s of %s", m.name, m.process.PID(), w.id, w.service)
	go w.beat()
	return m, nil
}

// awaitReady waits until all machines answer the readiness check, and a moment longer.
func (c *cluster) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range c.machines {
			resp, err := client.Get("http://" + m.at(portReady) + "/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.machines) {
			time.Sleep(4 * time.Second)
			return nil
		}
	}
	return errors.New("the machines do not become ready")
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, m := range c.machines {
		m.worker.stop()
		if m.process != nil {
			_ = m.process.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(200 * time.Millisecond)
	_ = os.RemoveAll(c.dir)
}

// startNode starts the process of a machine with the arguments of the cluster.
func (c *cluster) startNode(m *machine, settings string) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("the case has ended")
	}
	// The deploy file starts the program without arguments, and the environment names its settings.
	if err := os.Setenv("HEATHERCROFT_CONFIG", settings); err != nil {
		return err
	}
	if m.process, err = testbed.Start(c.dir, c.sidecar, m.name, c.arguments...); err != nil {
		return err
	}
	c.machines = append(c.machines, m)
	return nil
}
