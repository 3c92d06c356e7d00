package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The uploads of the case: photos of 1.5 MiB, sent in chunks within a quarter of a second.
const (
	uploadHost     = "photos.example"
	uploadPath     = "/intake/"
	uploadBytes    = 3 << 19
	uploadPiece    = 64 << 10
	uploadPause    = 10 * time.Millisecond
	uploadDeadline = 1500 * time.Millisecond
	uploadInterval = 100 * time.Millisecond
	uploadCount    = 540
	// Every crashEvery uploads, one of the four workers crashes and is down for crashTime.
	crashEvery      = 80
	crashTime       = 4500 * time.Millisecond
	answerTimeLimit = 4 * time.Second
)

// upload is a request of a client.
type upload struct {
	id, sum, status string
}

// runUploads sends uploads to four nodes while workers crash one after the other.
func runUploads(c *cluster, trouble bool) (broken bool, err error) {
	c.publish(7, `{"resource_type":"routes","metadata":{"name":"r-photo"},"spec":{"host":"`+uploadHost+`","path_prefix":"`+uploadPath+
		`","kind":"upload","timeout_ms":1500,"target_latency_ms":400,"priority":1,"service":"depot","max_attempts":2}},`+
		`{"resource_type":"services","metadata":{"name":"depot"},"spec":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},`+
		`{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	for _, zone := range []string{"casa-a", "casa-a", "casa-b", "casa-b"} {
		m := c.addMachine(zone, "depot")
		if err := m.startNode(); err != nil {
			return false, err
		}
		if err := m.startWorker(); err != nil {
			return false, err
		}
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	uploads := make([]*upload, uploadCount)
	var all sync.WaitGroup
	for i := range uploads {
		uploads[i] = &upload{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+i)}
		entry := c.machines[i%len(c.machines)]
		all.Go(func() { c.send(uploads[i], entry, i) })
		if trouble && i%crashEvery == crashEvery/2 && i+crashEvery/2 < uploadCount {
			m := c.machines[i/crashEvery%len(c.machines)]
			c.record.write("disruption: the worker on %s crashes (SIGKILL)", m.name)
			kill(m.worker, m.workerEnded)
			all.Go(func() {
				time.Sleep(crashTime)
				if err := m.startWorker(); err != nil {
					c.record.write("the worker on %s does not start again: %v", m.name, err)
				}
			})
		}
		time.Sleep(uploadInterval)
	}
	all.Wait()
	time.Sleep(time.Second)

	sent := map[string]*upload{}
	served := 0
	for _, u := range uploads {
		sent[u.id] = u
		if u.status == "200" {
			served++
		}
	}
	for _, e := range c.ran() {
		u, known := sent[e.ID]
		switch {
		case !known:
			broken = true
			c.record.write("UNASKED: %s ran at %s, and no client sent it", e.ID, e.Worker)
		case e.Method != http.MethodPost || e.URI != uploadPath+e.ID:
			broken = true
			c.record.write("UNASKED: %s ran at %s as %s %s", e.ID, e.Worker, e.Method, e.URI)
		case e.SHA256 != u.sum:
			broken = true
			c.record.write("UNASKED: %s ran at %s with a changed body: the client sent %d bytes, sha256 %.16s, the worker got %d bytes, sha256 %.16s; answer to the client: %s",
				e.ID, e.Worker, uploadBytes, u.sum, e.Bytes, e.SHA256, u.status)
		}
	}
	c.record.write("%d uploads, %d answered 200, %d runs", len(uploads), served, len(c.ran()))
	if served < len(uploads)/2 {
		return broken, fmt.Errorf("only %d of %d uploads were served", served, len(uploads))
	}
	return broken, nil
}

// photo returns the body of an upload. Each 8 bytes tell their place, so that no part is like another.
func photo(number int) []byte {
	body := make([]byte, uploadBytes)
	for at := 0; at < len(body); at += 8 {
		binary.BigEndian.PutUint64(body[at:], uint64(number)<<32|uint64(at))
	}
	return body
}

// send sends an upload in chunks on a new connection and reads the answer.
func (c *cluster) send(u *upload, entry *machine, number int) {
	body := photo(number)
	sum := sha256.Sum256(body)
	u.sum = hex.EncodeToString(sum[:])
	u.status = "no answer"
	defer func() { c.record.write("answered: %s: %s", u.id, u.status) }()
	conn, err := net.DialTimeout("tcp", entry.at(portOutbound), time.Second)
	if err != nil {
		u.status = "not connected: " + err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeLimit))
	c.record.write("sent: %s to %s: POST %s%s with %d bytes in chunks, sha256 %.16s", u.id, entry.name, uploadPath, u.id, len(body), u.sum)
	go func() {
		if err := writeChunks(conn, u.id, body); err != nil {
			c.record.write("%s was not sent completely: %v", u.id, err)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		u.status = "closed: " + err.Error()
		return
	}
	text, err := io.ReadAll(resp.Body)
	u.status = strconv.Itoa(resp.StatusCode)
	if err != nil {
		u.status += " cut: " + err.Error()
	} else if resp.StatusCode != http.StatusOK {
		c.record.write("%s: %.80q", u.id, text)
	}
}

// writeChunks writes a request with a chunked body, as fast as a usual link of a client.
func writeChunks(conn net.Conn, id string, body []byte) error {
	head := "POST " + uploadPath + id + " HTTP/1.1\r\nHost: " + uploadHost + "\r\n" + headerID + ": " + id + "\r\n" +
		headerTimeLeft + ": " + strconv.FormatInt(uploadDeadline.Milliseconds(), 10) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for len(body) > 0 {
		piece := body[:min(len(body), uploadPiece)]
		body = body[len(piece):]
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
		time.Sleep(uploadPause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
