// Package httpresponse finds responses that are malformed although net/http reads them.
package httpresponse

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks the errors of this package.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the head of a response, final or interim, is malformed. The request must
// not have asked for another protocol.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrMalformed, "the protocol is switched without a request for it")
	}
	return nil
}
