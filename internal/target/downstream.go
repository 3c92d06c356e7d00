package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// passedOn are the headers that a target repeats on its own calls. The node counts
// the depth up.
var passedOn = []string{HeaderDeadline, HeaderDepth}

// callDownstream calls the downstream paths one after the other through the node.
func (s *Server) callDownstream(ctx context.Context, r *http.Request) error {
	for i, path := range s.settings.Downstream {
		if err := s.callOne(ctx, r, path, i); err != nil {
			return errors.Wrapf(err, "downstream %s", path)
		}
	}
	return nil
}

func (s *Server) callOne(ctx context.Context, r *http.Request, path string, index int) error {
	target := strings.TrimRight(s.settings.OutboundURL, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	for _, name := range passedOn {
		if value := r.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	// Several calls under one id would count as one request that was repeated.
	req.Header.Set(HeaderRequestID, r.Header.Get(HeaderRequestID)+"."+strconv.Itoa(index))
	res, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	return nil
}
