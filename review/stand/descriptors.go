package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the case: groups of clients that each have a kept connection to the node of their machine and
// send at the same moment, or one after the other at the same rate.
const (
	chargeHost     = "charges.example"
	chargePath     = "/charge/"
	chargeClients  = 12
	chargeWork     = 20 * time.Millisecond
	chargeCycle    = 245 * time.Millisecond
	chargeTimeout  = 1500 * time.Millisecond
	chargeTime     = 96 * time.Second
	descriptors    = 4100
	contactTime    = 3 * time.Second
	newRequesters  = 8
	requesterEvery = 500 * time.Millisecond
	connectTime    = time.Second
)

// runDescriptors sends requests that must run once, in bursts, and observes as the platform and as new
// requesters whether the nodes take connections.
func runDescriptors(c *cluster, trouble bool) (broken bool, err error) {
	c.publish(7, `{"resource_type":"routes","metadata":{"name":"r-charge"},"spec":{"host":"`+chargeHost+`","path_prefix":"`+chargePath+
		`","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":1,"service":"courier","max_attempts":2}},`+
		`{"resource_type":"services","metadata":{"name":"courier"},"spec":{"health_path":"/health","max_connections":510,"protocol":"h1","tls":false}},`+
		`{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	for _, zone := range []string{"casa-a", "casa-b"} {
		m := c.addMachine(zone, "courier")
		m.descriptors = descriptors
		if err := m.startNode(); err != nil {
			return false, err
		}
		if err := m.startWorker("-work", chargeWork.String(), "-connections", "510"); err != nil {
			return false, err
		}
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var answered, failed atomic.Int64
	watches := make([]*watch, len(c.machines))
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, m := range c.machines {
		watches[i] = &watch{cluster: c, machine: m}
		all.Go(func() { watches[i].readiness(stop) })
		all.Go(func() { watches[i].requesters(stop) })
		all.Go(func() { c.charge(m, trouble, &answered, &failed, stop) })
	}
	for end := time.Now().Add(chargeTime); time.Now().Before(end); time.Sleep(5 * time.Second) {
		for i, m := range c.machines {
			c.record.write("%s: ready %t, %d requests answered and %d failed so far, %d descriptors in use", m.name, watches[i].ready.Load(), answered.Load(), failed.Load(), m.openDescriptors())
		}
		if watches[0].broken.Load() || watches[1].broken.Load() {
			break
		}
	}
	close(stop)
	all.Wait()
	c.record.write("%d requests answered, %d failed", answered.Load(), failed.Load())
	if answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return watches[0].broken.Load() || watches[1].broken.Load(), nil
}

// charge sends requests until stop is closed: all clients at once in each cycle, or spread over it.
func (c *cluster) charge(m *machine, atOnce bool, answered, failed *atomic.Int64, stop chan struct{}) {
	clients := make([]*keptClient, chargeClients)
	for i := range clients {
		clients[i] = &keptClient{address: m.at(portOutbound)}
		defer clients[i].close()
	}
	for cycle := 0; ; cycle++ {
		began := time.Now()
		var wave sync.WaitGroup
		statuses := make([]string, len(clients))
		for i, k := range clients {
			wave.Go(func() {
				if !atOnce {
					time.Sleep(time.Duration(i) * chargeCycle / chargeClients)
				}
				id := fmt.Sprintf("%s-%d-%d", m.name, cycle, i)
				status, err := k.post(chargeHost, chargePath+id, id)
				statuses[i] = strconv.Itoa(status)
				if err == nil && status == http.StatusOK {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
			})
		}
		wave.Wait()
		c.record.write("sent: %s-%d-0 to %s-%d-%d; answered: %s", m.name, cycle, m.name, cycle, len(clients)-1, strings.Join(statuses, " "))
		select {
		case <-stop:
			return
		case <-time.After(max(chargeCycle-time.Since(began), 0)):
		}
	}
}

// keptClient sends requests on one connection, and on a new one after a failure.
type keptClient struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *keptClient) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

func (k *keptClient) post(host, path, id string) (status int, err error) {
	if k.conn == nil {
		if k.conn, err = net.DialTimeout("tcp", k.address, connectTime); err != nil {
			k.conn = nil
			return 0, err
		}
		k.reader = bufio.NewReader(k.conn)
	}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	_ = k.conn.SetDeadline(time.Now().Add(chargeTimeout))
	if _, err := io.WriteString(k.conn, "POST "+path+" HTTP/1.1\r\nHost: "+host+"\r\n"+headerID+": "+id+"\r\n"+
		headerTimeLeft+": "+strconv.FormatInt(chargeTimeout.Milliseconds(), 10)+"\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		k.close()
	}
	return resp.StatusCode, nil
}

// watch observes a node as the platform and as new requesters do.
type watch struct {
	cluster *cluster
	machine *machine
	// ready is the last result of the readiness check.
	ready, broken atomic.Bool

	mu sync.Mutex
	// untaken is the time since when no new connection was taken, waiting the number of requesters that
	// tried since.
	untaken time.Time
	waiting int
}

// readiness asks the node once a second whether it is ready, as the platform does.
func (w *watch) readiness(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + w.machine.at(portReady) + "/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if w.ready.Swap(ok) != ok {
			w.cluster.record.write("platform: readiness of %s is now %t", w.machine.name, ok)
		}
		if !ok {
			w.mu.Lock()
			w.untaken, w.waiting = time.Time{}, 0
			w.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// requesters lets new requesters connect all the time. A connection is taken once the node has answered its request.
func (w *watch) requesters(stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		all.Go(func() { w.request(fmt.Sprintf("new-%s-%d", w.machine.name, i), stop) })
		select {
		case <-stop:
			return
		case <-time.After(requesterEvery / 2):
		}
	}
}

// request is a requester that connects, waits a second for an answer, and leaves.
func (w *watch) request(id string, stop chan struct{}) {
	k := &keptClient{address: w.machine.at(portOutbound)}
	defer k.close()
	began := time.Now()
	status, err := k.postWithin(connectTime, id)
	select {
	case <-stop:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		if w.waiting > 0 {
			w.cluster.record.write("requester %s: answered %d; %d before it were not taken", id, status, w.waiting)
		}
		w.untaken, w.waiting = time.Time{}, 0
		return
	}
	w.cluster.record.write("requester %s: not taken within %s: %v", id, time.Since(began).Round(time.Millisecond), err)
	if !w.ready.Load() {
		return
	}
	if w.untaken.IsZero() {
		w.untaken = began
	}
	w.waiting++
	if since := time.Since(w.untaken); since > contactTime+connectTime && w.waiting >= newRequesters && !w.broken.Swap(true) {
		w.cluster.record.write("RECOVER: %s says that it is ready and has taken none of %d new connections in %s", w.machine.name, w.waiting, since.Round(time.Millisecond))
	}
}

// postWithin sends a safe request to a path without a route, whose answer shows that the connection was taken.
func (k *keptClient) postWithin(limit time.Duration, id string) (status int, err error) {
	if k.conn, err = net.DialTimeout("tcp", k.address, limit); err != nil {
		return 0, err
	}
	_ = k.conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(k.conn, "GET /none/ HTTP/1.1\r\nHost: "+chargeHost+"\r\n"+headerID+": "+id+"\r\nConnection: close\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(k.conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// openDescriptors returns the number of open descriptors of the node. It is for the record only.
func (m *machine) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.node.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}
