package load

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/target"
)

func answerTo(id string, size int64) []byte {
	head, _ := json.Marshal(target.Answer{
		RequestID: id, ReceivedHash: strconv.FormatUint(xxhash.Sum64(nil), 16), BodyBytes: size,
	})
	body, _ := io.ReadAll(content.NewReader(id, size))
	return append(append(head, '\n'), body...)
}

func expecting(size int64, ids ...string) expectation {
	return expectation{ids: ids, receivedHash: xxhash.Sum64(nil), bodyBytes: size}
}

// Each way in which an answer can be wrong must have its own outcome, since the
// exit code depends on it.
func TestVerify(t *testing.T) {
	whole := answerTo("a", 100)
	changed := bytes.Clone(whole)
	changed[len(changed)-1] ^= 1
	broken := io.MultiReader(bytes.NewReader(whole[:150]), iotest.ErrReader(errors.New("reset")))
	for name, c := range map[string]struct {
		body io.Reader
		want Outcome
	}{
		"whole":               {bytes.NewReader(whole), OutcomeAnswered},
		"byte by byte":        {iotest.OneByteReader(bytes.NewReader(whole)), OutcomeAnswered},
		"other request":       {bytes.NewReader(answerTo("b", 100)), OutcomeMixedUp},
		"other size":          {bytes.NewReader(answerTo("a", 99)), OutcomeMixedUp},
		"changed byte":        {bytes.NewReader(changed), OutcomeMixedUp},
		"byte too many":       {bytes.NewReader(append(bytes.Clone(whole), 0)), OutcomeMixedUp},
		"clean end in body":   {bytes.NewReader(whole[:len(whole)-1]), OutcomeTruncated},
		"clean end in head":   {bytes.NewReader(whole[:20]), OutcomeTruncated},
		"clean end at once":   {bytes.NewReader(nil), OutcomeTruncated},
		"reset in body":       {broken, OutcomeBroken},
		"reset at once":       {iotest.ErrReader(io.ErrUnexpectedEOF), OutcomeBroken},
		"endless first line":  {bytes.NewReader(make([]byte, 2*maxHead)), OutcomeMixedUp},
		"first line no JSON":  {bytes.NewReader([]byte("x\n")), OutcomeMixedUp},
		"target got no bytes": {bytes.NewReader(bytes.Replace(whole, []byte(`"received_bytes":0`), []byte(`"received_bytes":1`), 1)), OutcomeMixedUp},
		"target got others":   {bytes.NewReader(bytes.Replace(whole, []byte(`"received_hash":"ef`), []byte(`"received_hash":"ee`), 1)), OutcomeMixedUp},
	} {
		t.Run(name, func(t *testing.T) {
			got := verify(c.body, expecting(100, "a"))
			require.Equal(t, c.want, got.outcome, got.reason)
		})
	}
}

// A replayed answer echoes the request that was executed, and no other.
func TestVerifyAcceptsReplayedIDs(t *testing.T) {
	require.Equal(t, OutcomeAnswered, verify(bytes.NewReader(answerTo("b", 9)), expecting(9, "a", "b")).outcome)
	require.Equal(t, OutcomeMixedUp, verify(bytes.NewReader(answerTo("c", 9)), expecting(9, "a", "b")).outcome)
}

// Whatever arrives, only the exact answer is accepted as whole.
func FuzzVerify(f *testing.F) {
	f.Add(answerTo("a", 10))
	f.Add(answerTo("a", 10)[:60])
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if verify(bytes.NewReader(data), expecting(10, "a")).outcome == OutcomeAnswered {
			_, body, _ := bytes.Cut(data, []byte("\n"))
			_, expected, _ := bytes.Cut(answerTo("a", 10), []byte("\n"))
			require.Equal(t, expected, body)
		}
	})
}
