package callpath

import (
	"bytes"
	"expvar"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// heldSource returns data, and its end only after release is closed.
type heldSource struct {
	data    io.Reader
	waits   chan struct{}
	release chan struct{}
}

func (s *heldSource) Read(p []byte) (int, error) {
	n, err := s.data.Read(p)
	if err == io.EOF {
		close(s.waits)
		<-s.release
	}
	return n, err
}

func newHeldBody(size int) (*requestBody, *heldSource) {
	s := &heldSource{data: bytes.NewReader(make([]byte, size)), waits: make(chan struct{}), release: make(chan struct{})}
	return newRequestBody(s, new(expvar.Int), func() {}), s
}

// Guards against a second attempt that begins while the first one reads bytes that are not
// buffered, so that the second one breaks off in the middle of the body.
func TestBodyIsConsumedWhileBytesBeyondTheBufferAreRead(t *testing.T) {
	b, source := newHeldBody(maxReplayBytes)
	a := &attemptBody{body: b}
	b.current.Store(a)
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(a)
		read <- err
	}()
	<-source.waits
	require.True(t, b.consumed())
	close(source.release)
	require.NoError(t, <-read)
}

// Guards against the end of a body that reaches an attempt after it was given up, and
// completes a request that the caller is told did not run.
func TestEndOfTheBodyDoesNotReachAnEndedAttempt(t *testing.T) {
	b, source := newHeldBody(100)
	a := &attemptBody{body: b}
	b.current.Store(a)
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(a)
		read <- err
	}()
	<-source.waits
	b.current.Store(nil)
	close(source.release)
	select {
	case err := <-read:
		require.ErrorIs(t, err, errAttemptEnded)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the read does not end")
	}
}

// piecewise returns a body in pieces of the size.
type piecewise struct {
	rest  []byte
	piece int
}

func (p *piecewise) Read(to []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.rest[:min(p.piece, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// Guards against bytes of a body that are given out twice, or left out, when attempts
// follow each other while the reader of an earlier one still reads.
func TestAttemptsReadABodyFromItsFirstByteOrNotAtAll(t *testing.T) {
	const largest = 3 * maxReplayBytes
	all := make([]byte, largest)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(all)
	rapid.Check(t, func(t *rapid.T) {
		whole := all[:rapid.IntRange(0, largest).Draw(t, "size")]
		source := &piecewise{rest: whole, piece: rapid.IntRange(1, 20_000).Draw(t, "size of a piece")}
		b := newRequestBody(source, new(expvar.Int), func() {})
		type outcome struct {
			got []byte
			err error
		}
		var readers sync.WaitGroup
		outcomes := make([]outcome, 5)
		for i := range rapid.IntRange(1, 5).Draw(t, "attempts") {
			a, ok := b.startAttempt()
			if !ok {
				require.GreaterOrEqual(t, len(whole), maxReplayBytes, "a small body can always be sent again")
				break
			}
			limit := rapid.IntRange(0, largest+1).Draw(t, "bytes read")
			read := func() {
				o := &outcomes[i]
				buffer := make([]byte, 5000)
				for len(o.got) < limit && o.err == nil {
					var n int
					n, o.err = a.Read(buffer[:min(len(buffer), limit-len(o.got))])
					o.got = append(o.got, buffer[:n]...)
				}
			}
			if rapid.Bool().Draw(t, "outlives its attempt") {
				readers.Go(read)
			} else {
				read()
			}
		}
		readers.Wait()
		b.end()
		for _, o := range outcomes {
			require.True(t, bytes.HasPrefix(whole, o.got), "bytes that do not follow each other")
			if o.err == io.EOF {
				require.Equal(t, len(whole), len(o.got), "a part that ends like the whole body")
			}
		}
	})
}
