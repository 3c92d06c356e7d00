// Package logclient is a client for the platform's append-only log, which speaks JSON
// over HTTP.
package logclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// OutcomeHeader is the header of a 503 or 429 response that tells whether the append
// took effect.
const OutcomeHeader = "Heathercroft-Outcome"

// OutcomeNotRun is the value of OutcomeHeader for a call that had no effect.
const OutcomeNotRun = "not-run"

// maxResponseBytes limits the body of a response. The platform ends a page at 4 MiB of
// records, which is at most 6 MiB after base64 and JSON encoding.
const maxResponseBytes = 8 << 20

// Client accesses one platform log. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// Traffic counts the bytes of the client's connections.
	Traffic *Traffic
}

// New returns a client for the log at a base URL. It uses a copy of httpClient's
// transport, so that Traffic counts only the connections of this client.
func New(base string, httpClient *http.Client) *Client {
	traffic := new(Traffic)
	return &Client{base: strings.TrimRight(base, "/"), http: withTraffic(httpClient, traffic), Traffic: traffic}
}

// Append adds a record to a stream and returns its offset. The error is marked
// ErrUnavailable or ErrRejected if nothing was appended, and ErrUnknown otherwise.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (record.Revision, error) {
	// If no connection was obtained, no byte of the request has left this process.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, header, body, err := c.do(ctx, http.MethodPost, c.url(stream), data)
	switch {
	case err != nil && !connected.Load():
		return 0, errors.Mark(errors.Wrap(err, "append"), ErrUnavailable)
	case err != nil:
		return 0, errors.Mark(errors.Wrap(err, "append"), ErrUnknown)
	case status == http.StatusOK:
		offset, err := decodeAppendResponse(body)
		return offset, errors.Wrap(err, "append")
	default:
		return 0, errors.Wrap(statusError(status, header, body, ErrUnknown), "append")
	}
}

// Read returns up to max entries, starting at offset from. If there are none, it waits
// up to wait for the first one and then returns an empty page. The error is an
// *OutOfRangeError if the log does not hold the offset; otherwise it is marked
// ErrUnavailable or ErrRejected.
func (c *Client) Read(ctx context.Context, stream string, from record.Revision, max int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, header, body, err := c.do(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	switch {
	case err != nil:
		return Page{}, errors.Mark(errors.Wrap(err, "read"), ErrUnavailable)
	case status == http.StatusOK:
		page, err := decodePage(body, from, max)
		return page, errors.Wrap(err, "read")
	case status == http.StatusGone:
		return Page{}, errors.Wrap(decodeOutOfRange(body), "read")
	default:
		return Page{}, errors.Wrap(statusError(status, header, body, ErrUnavailable), "read")
	}
}

// Reconnect makes later calls use new connections: the idle ones may be unresponsive.
func (c *Client) Reconnect() { c.http.CloseIdleConnections() }

func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// do sends one request and reads the entire response.
func (c *Client) do(ctx context.Context, method, target string, data []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "build request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxResponseBytes {
		return 0, nil, nil, errors.Mark(errors.Newf("answer is over %d bytes", maxResponseBytes), ErrMalformed)
	}
	return res.StatusCode, res.Header, body, nil
}

// statusError returns the error for a status other than 200. fallbackMark marks the
// error if the status does not tell whether the call took effect.
func statusError(status int, header http.Header, body []byte, fallbackMark error) error {
	const maxShownBytes = 200
	err := errors.Newf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), maxShownBytes)]))
	busy := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case busy && header.Get(OutcomeHeader) == OutcomeNotRun:
		return errors.Mark(err, ErrUnavailable)
	case status == http.StatusBadRequest, status == http.StatusNotFound,
		status == http.StatusMethodNotAllowed, status == http.StatusRequestEntityTooLarge:
		return errors.Mark(err, ErrRejected)
	default:
		return errors.Mark(err, fallbackMark)
	}
}
