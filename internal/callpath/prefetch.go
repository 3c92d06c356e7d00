package callpath

import (
	"bytes"
	"io"

	"heathercroft.example/heathercroft/pkg/retry"
)

// maxPrefetchBytes is the largest body that is read completely before the header
// is delivered. If such a response is truncated, the request can be retried or
// refused; otherwise the caller sees a reset connection.
const maxPrefetchBytes = 16 << 10

// prefetched is a body that was read completely.
type prefetched struct {
	*bytes.Reader
	io.Closer
}

// prefetch reads the body of a short response. If that fails it returns the result
// of an attempt whose connection was lost before a response was received.
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
	if c.ended() {
		return canceledResult(c, true)
	}
	return refused(retry.ResetAfterWrite, MayHaveRun(CodeConnectionLost, "the answer broke off: "+err.Error()))
}
