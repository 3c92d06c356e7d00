package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Header names of the users' platform.
const (
	headerID          = "Heathercroft-Attempt-Id"
	headerTimeLeft    = "Heathercroft-Remaining-Time-Ms"
	headerTarget      = "Heathercroft-Target-Instance"
	headerNotExecuted = "Heathercroft-Not-Executed"
	headerSignature   = "Heathercroft-Response-Signature"
	headerInstance    = "Heathercroft-Instance-Id"
)

// execution is a line of a worker's output: a request that it has run, or the status of the answer to its
// leaving or to a heartbeat that arrived late.
type execution struct {
	At            int64  `json:"at_ms"`
	Worker        string `json:"worker"`
	ID            string `json:"id,omitempty"`
	Method        string `json:"method,omitempty"`
	URI           string `json:"uri,omitempty"`
	Bytes         int    `json:"bytes,omitempty"`
	SHA256        string `json:"sha256,omitempty"`
	Leaving       int    `json:"leaving,omitempty"`
	LateHeartbeat int    `json:"late_heartbeat,omitempty"`
}

// worker is a stand-in for a server beside a node. It runs a request once it has read its whole body.
type worker struct {
	id, address, control, service, zone string
	// crash is the path of a request that crashes the worker once it begins to run it.
	crash           string
	slots           int
	work, heartbeat time.Duration
	born            int64

	running chan struct{}
	output  sync.Mutex
	// leave stops the heartbeats, late is when the one that was sent before the leaving arrives.
	leave, late chan os.Signal
}

// runWorker runs a worker until it is killed.
func runWorker(args []string) error {
	w := &worker{born: time.Now().UnixMilli(), leave: make(chan os.Signal, 1), late: make(chan os.Signal, 1)}
	signal.Notify(w.leave, syscall.SIGUSR1)
	signal.Notify(w.late, syscall.SIGUSR2)
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "id of the worker")
	flags.StringVar(&w.address, "address", "", "address at which it listens")
	flags.StringVar(&w.control, "control", "", "control address of the node on its machine")
	flags.StringVar(&w.service, "service", "", "its service")
	flags.StringVar(&w.zone, "zone", "", "its zone")
	connections := flags.Int("connections", 110, "connections that it accepts")
	flags.StringVar(&w.crash, "crash", "", "path of a request that crashes it")
	flags.IntVar(&w.slots, "slots", 12, "requests that it runs at once")
	flags.DurationVar(&w.work, "work", 110*time.Millisecond, "time that it works on a request")
	flags.DurationVar(&w.heartbeat, "heartbeat", heartbeatInterval, "time between two heartbeats")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w.running = make(chan struct{}, w.slots)
	inner, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	listener := &cappedListener{Listener: inner, max: int64(*connections)}
	go w.sendHeartbeats()
	server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	return server.Serve(listener)
}

// cappedListener resets the connections beyond a number.
type cappedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	if id != "" {
		rw.Header().Set(headerID, id)
	}
	switch target := r.Header.Get(headerTarget); {
	case id == "":
		rw.Header().Set(headerNotExecuted, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	case target != "" && target != w.id:
		rw.Header().Set(headerInstance, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The request never arrived as a whole, so it does not run.
		panic(http.ErrAbortHandler)
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	default:
		rw.Header().Set(headerNotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	w.report(execution{
		At: time.Now().UnixMilli(), Worker: w.id, ID: id, Method: r.Method, URI: r.RequestURI, Bytes: len(body), SHA256: hex.EncodeToString(sum[:]),
	})
	if w.crash != "" && r.RequestURI == w.crash {
		os.Exit(1)
	}
	time.Sleep(w.work)
	text := []byte("stored " + strconv.Itoa(len(body)) + " bytes\n")
	answer := sha256.Sum256(text)
	rw.Header().Set(headerSignature, hex.EncodeToString(answer[:8]))
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = rw.Write(text)
}

func (w *worker) report(e execution) {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	w.output.Lock()
	defer w.output.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// sendHeartbeats sends heartbeats until the worker leaves. A worker of this kind never reports that it drains: it
// withdraws first and continues to serve. Its last heartbeat before that arrives late.
func (w *worker) sendHeartbeats() {
	for sequence := 1; ; sequence++ {
		select {
		case <-w.leave:
			status := w.call(http.MethodDelete, "")
			w.report(execution{At: time.Now().UnixMilli(), Worker: w.id, Leaving: status})
			<-w.late
			status = w.call(http.MethodPut, w.heartbeatBody(sequence))
			w.report(execution{At: time.Now().UnixMilli(), Worker: w.id, LateHeartbeat: status})
			return
		default:
		}
		w.call(http.MethodPut, w.heartbeatBody(sequence))
		select {
		case s := <-w.leave:
			w.leave <- s
		case <-time.After(w.heartbeat):
		}
	}
}

func (w *worker) heartbeatBody(sequence int) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold_left_ms":0}}`,
		w.address, w.born, w.service, w.zone, w.slots, sequence)
}

// call sends a call to the node on the worker's machine and returns the status of the answer, or 0.
func (w *worker) call(method, body string) (status int) {
	req, err := http.NewRequest(method, "http://"+w.control+"/instances/"+w.id, bytes.NewBufferString(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
