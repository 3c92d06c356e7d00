package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	id   string
	key  string
	kind Kind
	// base is the URL of the node or target.
	base string
	path string
	// deadline is the end of the call for its caller.
	deadline time.Time
	// siblings are the request ids sent under the same key.
	siblings []string
}

// sender sends attempts and judges their answers.
type sender struct {
	client *http.Client
	mix    Mix
	// empty is the hash of no bytes.
	empty uint64
}

func newSender(s *Settings) *sender {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!s.HTTP2)
	protocols.SetUnencryptedHTTP2(s.HTTP2)
	return &sender{
		client: &http.Client{
			Transport: &http.Transport{
				Protocols:           protocols,
				MaxConnsPerHost:     s.MaxConnections,
				MaxIdleConnsPerHost: s.MaxConnections,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		mix:   s.Mix,
		empty: xxhash.Sum64(nil),
	}
}

// bodyOf returns the size of the request body of a kind.
func (s *sender) bodyOf(kind Kind) int64 {
	switch kind {
	case KindKeyed:
		return s.mix.KeyedBytes
	case KindUpload:
		return s.mix.UploadBytes
	default:
		return 0
	}
}

func (s *sender) request(ctx context.Context, a attempt) (*http.Request, error) {
	method, size := http.MethodPost, s.bodyOf(a.kind)
	if a.kind == KindRead {
		method = http.MethodGet
	}
	query := url.Values{"response_bytes": {strconv.FormatInt(s.mix.ResponseBytes, 10)}}
	req, err := http.NewRequestWithContext(ctx, method, a.base+a.path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if a.kind != KindRead {
		// Without GetBody, the transport never sends a request again by itself. It
		// would do so for one with a key, and hide what happened to the first.
		req.Body = io.NopCloser(content.NewReader(a.contentSeed(), size))
		req.ContentLength = size
		if size == 0 {
			req.TransferEncoding = []string{"chunked"}
			req.ContentLength = -1
		}
	}
	req.Header.Set(target.HeaderRequestID, a.id)
	if a.key != "" {
		req.Header.Set(target.HeaderIdempotencyKey, a.key)
	}
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(max(1, time.Until(a.deadline).Milliseconds()), 10))
	return req, nil
}

// contentSeed is the same for all requests under one key, which carry one body.
func (a attempt) contentSeed() string {
	if a.key != "" {
		return a.key
	}
	return a.id
}

// send sends one attempt and reads its answer to the end.
func (s *sender) send(ctx context.Context, a attempt) verdict {
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(answerGrace))
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	req, err := s.request(ctx, a)
	if err != nil {
		return verdict{OutcomeError, err.Error()}
	}
	res, err := s.client.Do(req)
	if err != nil {
		if written.Load() {
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
	want := expectation{ids: []string{a.id}, receivedHash: s.empty, bodyBytes: s.mix.ResponseBytes}
	if header.Get(headerReplayed) == "true" {
		want.ids = append(want.ids, a.siblings...)
	}
	if a.kind != KindRead {
		want.receivedBytes = s.bodyOf(a.kind)
		want.receivedHash = content.Hash(a.contentSeed(), want.receivedBytes)
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
