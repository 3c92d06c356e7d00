package callpath

import (
	"bytes"
	"expvar"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
