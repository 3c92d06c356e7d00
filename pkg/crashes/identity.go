// Package crashes decides which requests crash the targets that run them: what identifies a request when
// it comes again, and what the nodes know of those that were running when targets crashed. It has no
// I/O, clock or goroutine.
package crashes

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxBodyBytes is the size in bytes of the part of a body that identifies a request. A node buffers as
// much before it sends a request. What follows has not arrived when the node decides: requests with larger bodies
// are told apart by this part, and from those that end there.
const MaxBodyBytes = 1 << 20

// Request is what identifies a request. It says nothing of how the body was transferred.
type Request struct {
	Method string
	// Host and URI are those that the caller sent. Host is "" if it does not select the target.
	Host, URI string
	// Caller is the service that sends the request.
	Caller string
	// Key is the key of a keyed request, "" for others.
	Key string
	// Body is the beginning of the body, with at least MaxBodyBytes bytes if the body has as many. More is set if
	// further bytes follow.
	Body []byte
	More bool
}

// Identity returns a number that is the same for equal requests at all nodes. Nothing of the request can
// be read from it.
func (r Request) Identity() uint64 {
	h := xxhash.New()
	length := make([]byte, 8)
	for _, field := range []string{r.Method, r.Host, r.URI, r.Caller, r.Key} {
		// With its length, since a field may contain any byte.
		binary.LittleEndian.PutUint64(length, uint64(len(field)))
		_, _ = h.Write(length)
		_, _ = h.WriteString(field)
	}
	body, more := r.Body, r.More
	if len(body) > MaxBodyBytes {
		body, more = body[:MaxBodyBytes], true
	}
	_, _ = h.Write(body)
	if more {
		_, _ = h.WriteString("more")
	}
	return h.Sum64()
}
