package callpath

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"heathercroft.example/heathercroft/internal/httpresponse"
)

// copyBytes is the size of the buffer for copying a body.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// deliver writes the result to the client. If the response ends early it aborts
// the handler, so that the client sees a broken response.
func (n *Node) deliver(c *call, a *attemptResult) {
	if a.resp == nil || c.mayHaveRun && a.outcome.NotRun() {
		n.deliverRefusal(c, a)
		return
	}
	if !n.stream(c, a, nil) {
		n.metrics.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// deliverRefusal responds with a refusal. After an attempt that may have run, the
// refusal of a later one does not prove that the call did not run.
func (n *Node) deliverRefusal(c *call, a *attemptResult) {
	r := a.refusal
	if r == nil {
		r = NotRun(a.code(), "the last attempt was refused")
		if r.Code == "" {
			r.Code = CodeTargetRefused
		}
	}
	if c.mayHaveRun && r.Outcome == OutcomeNotRun {
		r = MayHaveRun(r.Code, "an earlier attempt may have run; the last one: "+r.Message)
	}
	a.end(false)
	n.setLoadHeader(c)
	n.refuseCall(c, r)
}

func (n *Node) setLoadHeader(c *call) {
	if c.target != "" {
		inFlight, slots := n.limiter.load()
		c.w.Header()[HeaderLoad] = []string{strconv.Itoa(inFlight) + "/" + strconv.Itoa(slots)}
	}
}

// stream copies the response to the client and ends it. It returns false if the
// response was truncated or the client disconnected. If capture is not nil it gets
// a copy of the body, and the response is then read to its end even if the client
// disconnected.
//
// A response that breaks before the first byte of its body becomes a refusal: its
// header has not been sent, and an abort would leave the client without any
// response.
func (n *Node) stream(c *call, a *attemptResult, capture *capturedBody) bool {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	count, err := a.resp.Body.Read(buffer[:])
	if count == 0 && err != nil && err != io.EOF {
		a.end(false)
		n.setLoadHeader(c)
		n.refuseCall(c, bodyReadRefusal(c, err))
		return true
	}
	n.writeHeader(c, a.resp)
	complete, delivered := n.copyBody(c, a.resp, capture, buffer[:], count, err)
	if complete && delivered {
		writeTrailers(c.w.Header(), a.resp)
	}
	a.end(complete)
	if capture != nil {
		capture.complete = complete
	}
	return complete && delivered
}

func bodyReadRefusal(c *call, err error) *Refusal {
	if c.ended() {
		return canceledResult(c, true).refusal
	}
	return MayHaveRun(CodeConnectionLost, "the answer broke off before its body: "+err.Error())
}

func (n *Node) writeHeader(c *call, resp *http.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	delete(h, HeaderLoad)
	n.setLoadHeader(c)
	if c.target == "" {
		delete(h, HeaderTargetTime)
		h[HeaderRequestID] = []string{c.id}
	}
	// The target may still be reading the rest of the body, so it is not read here.
	n.announceClose(c, c.req.ContentLength == 0 || c.body.reachedEOF())
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	c.w.WriteHeader(resp.StatusCode)
}

// writeTrailers forwards the trailers that followed the body. Those that the
// response did not announce need http.TrailerPrefix.
func writeTrailers(h http.Header, resp *http.Response) {
	announced := map[string]bool{}
	for _, name := range h["Trailer"] {
		announced[name] = true
	}
	for name, values := range resp.Trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// copyBody streams the body and flushes each part as it arrives. complete is set
// if the body was read to its end with well-formed trailers, delivered if the client
// got all of it. count and err are the result of the first read.
func (n *Node) copyBody(c *call, resp *http.Response, capture *capturedBody, buffer []byte, count int, err error) (complete, delivered bool) {
	control := http.NewResponseController(c.w)
	delivered = true
	total := int64(0)
	for ; ; count, err = resp.Body.Read(buffer) {
		total += int64(count)
		if count > 0 {
			n.metrics.responseBytes.Add(int64(count))
			capture.add(buffer[:count])
			if delivered {
				delivered = n.writePart(c, control, buffer[:count], total == resp.ContentLength)
			}
			if !delivered && capture == nil {
				return false, false
			}
		}
		if err == io.EOF {
			return httpresponse.CheckFields(resp.Trailer) == nil, delivered
		}
		if err != nil {
			return false, delivered
		}
	}
}

// writePart writes and flushes a part of the body. The last part is flushed by the
// server.
func (n *Node) writePart(c *call, control *http.ResponseController, part []byte, last bool) bool {
	if _, err := c.w.Write(part); err != nil {
		return false
	}
	return last || control.Flush() == nil
}

// capturedBody stores a response body for replays, up to MaxStoredBody bytes.
type capturedBody struct {
	data      []byte
	oversized bool
	complete  bool
}

func (b *capturedBody) add(p []byte) {
	if b == nil || b.oversized {
		return
	}
	if len(b.data)+len(p) > MaxStoredBody {
		b.oversized = true
		b.data = nil
		return
	}
	b.data = append(b.data, p...)
}

// writeStored responds to a repeated request with the stored response.
func (n *Node) writeStored(c *call, s *StoredResponse) {
	if s.Oversized {
		n.refuseCall(c, MayHaveRun(CodeKeyUnknownOutcome, "the request ran; its answer was over 64 KiB and was not kept"))
		return
	}
	n.metrics.replayed.Add(1)
	h := c.w.Header()
	for name, values := range s.Header {
		h[name] = values
	}
	h[HeaderReplayed] = []string{"true"}
	h[HeaderRequestID] = []string{c.id}
	n.announceClose(c, c.finishBody())
	if s.Status != http.StatusNoContent && s.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(s.Body))}
	}
	c.w.WriteHeader(s.Status)
	_, _ = c.w.Write(s.Body)
}
