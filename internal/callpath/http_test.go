package callpath_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
)

// Guards against responses without a body that hang or gain one, lost trailers and
// lost informational responses.
func TestSpecialAnswers(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/courier/204":
			w.WriteHeader(http.StatusNoContent)
		case "/courier/304":
			w.Header().Set("Etag", `"x"`)
			w.WriteHeader(http.StatusNotModified)
		case "/courier/103":
			w.Header().Set("Link", "</style.css>")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
			_, _ = io.WriteString(w, "hinted")
		case "/courier/trailer":
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "body")
			w.Header().Set("X-Sum", "abc")
			w.Header().Set(http.TrailerPrefix+"X-Late", "def")
		default:
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "hello")
		}
	}), fastSettings())
	head := m.do(a, "HEAD", "/courier", "")
	require.Equal(t, []string{"5", ""}, []string{head.header.Get("Content-Length"), head.body})
	require.Equal(t, 204, m.do(a, "GET", "/courier/204", "").status)
	require.Equal(t, `"x"`, m.do(a, "GET", "/courier/304", "").header.Get("Etag"))

	hinted := ""
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			hinted = h.Get("Link")
			return nil
		},
	})
	req, err := http.NewRequestWithContext(ctx, "GET", a.caller.URL+"/courier/103", nil)
	require.NoError(t, err)
	got := roundTrip(req)
	require.Equal(t, []string{"hinted", "</style.css>", ""}, []string{got.body, hinted, got.header.Get("Link")})

	req, err = http.NewRequest("GET", a.caller.URL+"/courier/trailer", nil)
	require.NoError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, []string{"abc", "def"}, []string{resp.Trailer.Get("X-Sum"), resp.Trailer.Get("X-Late")})
}

// Guards against a response that is buffered until it is complete.
func TestAnswersAreFlushedAsTheyCome(t *testing.T) {
	m := newMesh(t)
	next := make(chan string)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, _ *http.Request) {
		for part := range next {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
	}), fastSettings())
	req, err := http.NewRequest("GET", a.caller.URL+"/courier", nil)
	require.NoError(t, err)
	go func() { next <- "one" }()
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 3)
	for _, part := range []string{"one", "two"} {
		if part == "two" {
			next <- part
		}
		_, err = io.ReadFull(resp.Body, buf)
		require.NoError(t, err)
		require.Equal(t, part, string(buf))
	}
	close(next)
}

// Guards against a caller with Expect: 100-continue that sends its body although
// the target refuses it.
func TestExpectContinueReachesTheTarget(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/courier/refuse" {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}), fastSettings())
	transport := &http.Transport{ExpectContinueTimeout: 10 * time.Second}
	t.Cleanup(transport.CloseIdleConnections)
	for path, want := range map[string]int{"/courier/refuse": 413, "/courier/take": 200} {
		body := &countingReader{Reader: strings.NewReader("hello")}
		req, err := http.NewRequest("POST", a.caller.URL+path, body)
		require.NoError(t, err)
		req.ContentLength = 5
		req.Header.Set("Expect", "100-continue")
		resp, err := transport.RoundTrip(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		require.Equal(t, want, resp.StatusCode)
		require.Equal(t, want == 200, body.count > 0)
	}
}

// Guards against a node that waits for the rest of a request body after the target
// has responded.
func TestEarlyAnswerEndsTheUpload(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", rawTarget(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
		}
	}), fastSettings())
	for _, entry := range []*testNode{a, b} {
		reader, writer := io.Pipe()
		req, err := http.NewRequest("POST", entry.caller.URL+"/courier", reader)
		require.NoError(t, err)
		go func() { _, _ = writer.Write([]byte("start")) }()
		require.Equal(t, http.StatusRequestEntityTooLarge, roundTrip(req).status)
		_ = writer.Close()
	}
}

type countingReader struct {
	io.Reader
	count int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count += n
	return n, err
}

func BenchmarkForward(b *testing.B) {
	m := newMesh(b)
	a := m.add("node-a", "", callpath.DefaultSettings())
	address := target(b, ok)
	m.add("node-b", address, callpath.DefaultSettings())
	for name, url := range map[string]string{
		"direct": "http://" + address + "/courier", "one-node": m.nodes["node-b"].caller.URL + "/courier", "two-nodes": a.caller.URL + "/courier",
	} {
		b.Run(name, func(b *testing.B) {
			req, err := http.NewRequest("GET", url, nil)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				if got := roundTrip(req); got.status != http.StatusOK {
					b.Fatal(got)
				}
			}
		})
	}
}
