package callpath

import (
	"bytes"
	"io"

	"heathercroft.example/heathercroft/pkg/retry"
)

// maxPrefetchBytes is the size up to which an answer is read whole before its header
// is delivered. A short answer that breaks off can then be asked for again, or
// refused; without that the caller sees a reset connection.
const maxPrefetchBytes = 16 << 10

// prefetched is a body that was read whole.
type prefetched struct {
	*bytes.Reader
	io.Closer
}

// prefetch reads a short answer. If that fails it returns the outcome of the
// attempt as one whose connection broke before an answer came.
func (n *Node) prefetch(c *call, a *attemptResult) *attemptResult {
	if a.resp == nil || a.outcome != retry.ResponseReceived || c.target != "" {
		return a
	}
	length := a.resp.ContentLength
	if length <= 0 || length > maxPrefetchBytes || c.req.Method == "HEAD" {
		return a
	}
	data := make([]byte, length)
	_, err := io.ReadFull(a.resp.Body, data)
	if err == nil {
		a.resp.Body = prefetched{bytes.NewReader(data), a.resp.Body}
		return a
	}
	a.end(false)
	if c.ctx.Err() != nil {
		return canceledResult(c, true)
	}
	return refused(retry.ResetAfterWrite, MayHaveRun(CodeConnectionLost, "the answer broke off: "+err.Error()))
}
