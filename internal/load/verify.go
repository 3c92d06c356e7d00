package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/target"
)

// maxHead bounds the first line of an answer in bytes.
const maxHead = 64 << 10

// expectation is what the answer to a call must hold.
type expectation struct {
	// ids are the request ids that the answer may echo: a replayed answer echoes the
	// id of the request that was executed.
	ids           []string
	receivedBytes int64
	receivedHash  uint64
	bodyBytes     int64
}

// verdict is the outcome of a check with its reason.
type verdict struct {
	outcome Outcome
	reason  string
}

func mixedUp(reason string) verdict { return verdict{OutcomeMixedUp, reason} }

// verify reads an answer with status 200 to its end and compares every byte.
func verify(body io.Reader, want expectation) verdict {
	reader := bufio.NewReaderSize(body, maxHead)
	line, err := reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return mixedUp("first line is too long")
	case errors.Is(err, io.EOF):
		return verdict{OutcomeTruncated, "ended in the first line"}
	case err != nil:
		return verdict{OutcomeBroken, err.Error()}
	}
	var head target.Answer
	if err := json.Unmarshal(bytes.TrimSpace(line), &head); err != nil {
		return mixedUp("first line: " + err.Error())
	}
	if reason := want.check(head); reason != "" {
		return mixedUp(reason)
	}
	return verifyBody(reader, head)
}

// check compares the first line of an answer and returns what differs.
func (want expectation) check(head target.Answer) string {
	known := false
	for _, id := range want.ids {
		known = known || id == head.RequestID
	}
	switch {
	case !known:
		return "echoed request id " + strconv.Quote(head.RequestID)
	case head.ReceivedBytes != want.receivedBytes:
		return "target received " + strconv.FormatInt(head.ReceivedBytes, 10) + " bytes"
	case head.ReceivedHash != strconv.FormatUint(want.receivedHash, 16):
		return "target received other content"
	case head.BodyBytes != want.bodyBytes:
		return "body of " + strconv.FormatInt(head.BodyBytes, 10) + " bytes"
	}
	return ""
}

func verifyBody(reader io.Reader, head target.Answer) verdict {
	verifier := content.NewVerifier(head.RequestID)
	_, err := io.Copy(verifier, reader)
	switch {
	case errors.Is(err, content.ErrMismatch):
		return mixedUp(err.Error())
	case err != nil:
		return verdict{OutcomeBroken, err.Error()}
	case verifier.Count < head.BodyBytes:
		return verdict{OutcomeTruncated, "ended at byte " + strconv.FormatInt(verifier.Count, 10)}
	case verifier.Count > head.BodyBytes:
		return mixedUp("bytes after the end of the body")
	}
	return verdict{outcome: OutcomeAnswered}
}
