package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerID       = "Heathercroft-Attempt-Id"
	headerTimeLeft = "Heathercroft-Remaining-Time-Ms"
	headerTarget   = "Heathercroft-Target-Instance"
	headerCaller   = "Heathercroft-Caller-Service"
	headerMAC      = "Heathercroft-Response-Signature"
	headerNotRun   = "Heathercroft-Not-Executed"
	headerInstance = "Heathercroft-Instance-Id"
	headerLoad     = "Heathercroft-Server-Load"
)

const (
	// idleTime is how long a worker keeps an idle connection.
	idleTime = 10 * time.Second
	// maxWaiting is how many requests a worker queues.
	maxWaiting = 24
)

// run is a request that a worker began to work on.
type run struct {
	id, path, caller, worker string
	body                     []byte
	boot                     *boot
	// at is when it reached the worker.
	at time.Time
}

// boot is one process of a worker.
type boot struct {
	worker   *worker
	id       string
	born     int64
	sequence atomic.Uint64
	draining atomic.Bool
	running  atomic.Int32
	waiting  atomic.Int32
	slots    chan struct{}
	listener net.Listener
	ended    chan struct{}
	endOnce  sync.Once

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// worker is the worker beside a node. Its boots follow each other at the same address.
type worker struct {
	cluster *cluster
	machine *machine
	work    time.Duration
	// version is that of its software, "" for v1.
	version string
	// fails, if set, reports whether the boot answers a request that it ran with a failure.
	fails func(run) bool
	// onRun is called when a boot begins to work on a request. It reports whether to go on.
	onRun func(run) bool
	// holdPing, if set, returns how long a ping is on its way.
	holdPing func(b *boot, sequence uint64) time.Duration

	mu      sync.Mutex
	current *boot
	boots   int
}

// start begins a boot. With an empty id it gets a new one.
func (w *worker) start(id string) (*boot, error) {
	l, err := net.Listen("tcp", w.machine.address(portApp))
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", w.machine.name, w.boots)
	}
	b := &boot{
		worker: w, id: id, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), listener: l,
		ended: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	w.current = b
	server := &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTime, ConnState: b.track}
	go func() { _ = server.Serve(l) }()
	go b.pingAll()
	w.cluster.record.add("worker %s born %d started at %s", b.id, b.born, w.machine.name)
	return b, nil
}

func (b *boot) track(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(b.conns, c)
		return
	}
	b.conns[c] = true
}

// end ends the boot as the kernel ends a process: its port and connections are reset. It returns
// once the port is free.
func (b *boot) end() {
	b.endOnce.Do(func() {
		close(b.ended)
		_ = b.listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// crash ends the boot and starts another one after a time.
func (b *boot) crash(down time.Duration, id string) {
	b.end()
	time.AfterFunc(down, func() {
		if _, err := b.worker.start(id); err != nil {
			b.worker.cluster.record.add("worker at %s did not start: %v", b.worker.machine.name, err)
		}
	})
}

func (b *boot) isEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// pingAll sends pings until the boot ends.
func (b *boot) pingAll() {
	for !b.isEnded() && !b.draining.Load() {
		b.ping()
		select {
		case <-b.ended:
		case <-time.After(heartbeatInterval):
		}
	}
}

// ping sends one ping. It may be on its way for some time.
func (b *boot) ping() {
	sequence := b.sequence.Add(1)
	text, err := json.Marshal(map[string]any{
		"born": b.born, "address": b.worker.machine.address(portApp),
		"info":   map[string]any{"service": b.worker.machine.service, "version": cmp.Or(b.worker.version, "v1"), "zone": b.worker.machine.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_left_ms": 0},
	})
	if err != nil {
		panic("a ping is always encodable: " + err.Error())
	}
	hold := time.Duration(0)
	if b.worker.holdPing != nil {
		hold = b.worker.holdPing(b, sequence)
	}
	send := func() {
		status, err := b.report(http.MethodPut, text)
		if hold > 0 || sequence == 1 || err != nil {
			b.worker.cluster.record.add("ping %d of %s born %d, late by %s: status %d, error %v", sequence, b.id, b.born, hold, status, err)
		}
	}
	if hold > 0 {
		time.AfterFunc(hold, send)
		return
	}
	send()
}

// leave sends DELETE and reports whether it was acknowledged.
func (b *boot) leave() bool {
	b.draining.Store(true)
	status, err := b.report(http.MethodDelete, nil)
	b.worker.cluster.record.add("DELETE of %s born %d: status %d, error %v", b.id, b.born, status, err)
	return err == nil && status == http.StatusOK
}

// report sends a call to the node. Workers wait a second for the response.
func (b *boot) report(method string, body []byte) (int, error) {
	req, err := http.NewRequest(method, "http://"+b.worker.machine.address(portControl)+"/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// ServeHTTP implements http.Handler.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	h := w.Header()
	h.Set(headerInstance, b.id)
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	if r.URL.Path == "/health" {
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	switch target := r.Header.Get(headerTarget); {
	case target != "" && target != b.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.waiting.Add(1) > maxWaiting {
		b.waiting.Add(-1)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	b.running.Add(1)
	defer b.running.Add(-1)
	if b.isEnded() {
		return
	}
	begun := run{id: id, path: r.URL.Path, caller: r.Header.Get(headerCaller), worker: b.id, body: body, boot: b, at: reached}
	b.worker.cluster.record.add("run %s at %s born %d", id, b.id, b.born)
	if !b.worker.onRun(begun) {
		panic(http.ErrAbortHandler)
	}
	work, status := b.worker.work, http.StatusOK
	if left, err := strconv.ParseFloat(r.Header.Get(headerTimeLeft), 64); err == nil {
		if deadline := reached.Add(time.Duration(left * float64(time.Millisecond))); time.Until(deadline) < work {
			work, status = time.Until(deadline), http.StatusGatewayTimeout
		}
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), slots))
	h.Set(headerMAC, "mac-"+id)
	text := "done " + id + "\n"
	if status == http.StatusOK && b.worker.fails != nil && b.worker.fails(begun) {
		text, status = "failed "+id+"\n", http.StatusInternalServerError
	}
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
