package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// worker is a back end on plain connections, so that it can send any bytes.
type worker struct {
	id, service string
	slots       int
	work        time.Duration
	// answer returns the bytes of the response to a request that has run, and whether the connection closes then.
	answer func(w *worker, r *http.Request, body []byte) (response string, closes bool)

	cluster  *cluster
	machine  *machine
	born     int64
	listener net.Listener
	running  atomic.Int32
	ended    atomic.Bool
}

func (w *worker) start(c *cluster, m *machine) (err error) {
	w.cluster, w.machine, w.born = c, m, time.Now().UnixMilli()
	if w.listener, err = net.Listen("tcp", m.at(portTarget)); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return nil
}

func (w *worker) stop() {
	w.ended.Store(true)
	if w.listener != nil {
		_ = w.listener.Close()
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response, closes := w.handle(r)
		if response == "" {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil || closes {
			return
		}
	}
}

// plain returns a sound response.
func plain(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func (w *worker) handle(r *http.Request) (response string, closes bool) {
	if r.URL.Path == "/health" {
		return plain(http.StatusOK, "Heathercroft-Instance-Id: "+w.id+"\r\n", ""), false
	}
	id := r.Header.Get("Heathercroft-Attempt-Id")
	echo := "Heathercroft-Attempt-Id: " + id + "\r\n"
	if target := r.Header.Get("Heathercroft-Target-Instance"); target != w.id {
		return plain(http.StatusMisdirectedRequest, echo, ""), true
	}
	if int(w.running.Add(1)) > w.slots {
		w.running.Add(-1)
		return plain(http.StatusServiceUnavailable, echo+"Heathercroft-Not-Executed: 1\r\n", ""), true
	}
	defer w.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.cluster.record.line("%s: the body of %s breaks off after %d bytes", w.id, id, len(body))
		return "", true
	}
	w.cluster.record.line("%s runs %s %s %s, body of %d bytes, sha256 %.6x", w.id, id, r.Method, r.URL.Path, len(body), sha256.Sum256(body))
	time.Sleep(w.work)
	return w.answer(w, r, body)
}

// signed returns the headers of a response to a request that has run.
func (w *worker) signed(r *http.Request) string {
	id := r.Header.Get("Heathercroft-Attempt-Id")
	return "Heathercroft-Attempt-Id: " + id + "\r\nHeathercroft-Response-Signature: s." + w.id + "." + id + "\r\n"
}

// beat sends heartbeats until the worker has ended.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; !w.ended.Load(); sequence++ {
		body, err := json.Marshal(map[string]any{
			"address": w.machine.at(portTarget), "born": w.born,
			"info":   map[string]any{"service": w.service, "version": "v1", "zone": "kz-south-a", "slots": w.slots},
			"status": map[string]any{"state": "ready", "sequence": sequence, "cold_left_ms": 0},
		})
		if err != nil {
			panic(err)
		}
		req, err := http.NewRequest(http.MethodPut, "http://"+w.machine.at(portControl)+"/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}
