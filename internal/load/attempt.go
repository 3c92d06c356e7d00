package load

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/target"
)

const (
	// answerGrace is how long after its deadline a caller still waits for an answer.
	// A node must have refused by then, so an answer that is later counts as lost.
	answerGrace = time.Second
	// maxRefusal bounds the body of a refusal that is read.
	maxRefusal = 1 << 20
	// headerReplayed marks a stored answer.
	headerReplayed = "Heathercroft-Replayed"
)

// attempt is one request of a call.
type attempt struct {
	Call
	// id is the X-Request-Id, which differs between the two requests of a repeated call.
	id string
	// base is the URL of the node or target.
	base string
	// deadline is the end of the call for its caller.
	deadline time.Time
	// siblings are the request ids sent under the same key.
	siblings []string
}

// sender sends attempts and judges their answers.
type sender struct {
	client *http.Client
	mix    Mix
	http2  bool
}

func newSender(s *Settings) *sender {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!s.HTTP2)
	protocols.SetUnencryptedHTTP2(s.HTTP2)
	return &sender{
		client: &http.Client{
			Transport: &http.Transport{
				Protocols:           protocols,
				DialContext:         dialMetered,
				MaxConnsPerHost:     s.MaxConnections,
				MaxIdleConnsPerHost: s.MaxConnections,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		mix:   s.Mix,
		http2: s.HTTP2,
	}
}

func (s *sender) request(ctx context.Context, a attempt) (*http.Request, error) {
	method := http.MethodPost
	if a.Kind == KindRead {
		method = http.MethodGet
	}
	query := url.Values{"response_bytes": {strconv.FormatInt(s.mix.ResponseBytes, 10)}}
	req, err := http.NewRequestWithContext(ctx, method, a.base+a.Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if a.BodyBytes > 0 || !s.http2 {
		// A body without GetBody keeps the transport from sending a request again by
		// itself. It would do so for reads and for requests with a key, and hide what
		// happened to the first one. HTTP/1.1 does not send an empty body; HTTP/2 would
		// send it as one of unknown length, and repeats only what the server refused.
		req.Body = io.NopCloser(content.NewReader(a.BodySeed, a.BodyBytes))
		req.ContentLength = a.BodyBytes
	}
	req.Header.Set(target.HeaderRequestID, a.id)
	if a.Key != "" {
		req.Header.Set(target.HeaderIdempotencyKey, a.Key)
	}
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(max(1, time.Until(a.deadline).Milliseconds()), 10))
	return req, nil
}

// send sends one attempt and reads its answer to the end.
func (s *sender) send(ctx context.Context, a attempt) verdict {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(answerGrace))
	defer cancel()
	sent := new(wire)
	req, err := s.request(sent.trace(ctx), a)
	if err != nil {
		return verdict{OutcomeError, err.Error()}
	}
	res, err := s.client.Do(req)
	if err != nil {
		if sent.mayHaveSent() {
			return verdict{OutcomeLost, err.Error()}
		}
		return verdict{OutcomeUnreachable, err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusOK {
		return verify(res.Body, s.expect(a, res.Header))
	}
	return refusal(res)
}

func (s *sender) expect(a attempt, header http.Header) expectation {
	want := expectation{
		ids:           []string{a.id},
		receivedBytes: a.BodyBytes, receivedHash: a.BodyHash,
		bodyBytes: s.mix.ResponseBytes,
	}
	if header.Get(headerReplayed) == "true" {
		want.ids = append(want.ids, a.siblings...)
	}
	return want
}

// refusal judges an answer with a status other than 200.
func refusal(res *http.Response) verdict {
	const shown = 200
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if err != nil {
		return verdict{OutcomeBroken, err.Error()}
	}
	reason := res.Status + " " + string(body[:min(len(body), shown)])
	switch outcome := Outcome(res.Header.Get(target.HeaderOutcome)); outcome {
	case OutcomeNotRun, OutcomeMayHaveRun:
		return verdict{outcome, reason}
	default:
		return verdict{OutcomeError, reason}
	}
}
