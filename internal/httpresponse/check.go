// Package httpresponse finds responses that are malformed although net/http reads them.
package httpresponse

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks the errors of this package.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the head of a response, final or interim, is malformed. The request must
// not have asked for another protocol. CheckFields checks the trailers, once the body has been read.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrMalformed, "the protocol is switched without a request for it")
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error if a field has a malformed name. net/http accepts blanks in names and
// does not read such a field as the one without blanks, also if it tells where the body ends.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %.100q", name)
		}
	}
	return nil
}
