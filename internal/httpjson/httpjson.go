// Package httpjson reads and writes the JSON bodies of the log service and target stand-ins.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes limits the body of a control request.
const maxBodyBytes = 64 << 10

// Error is the body of an error response.
type Error struct {
	Message string `json:"message"`
}

// Write sends a response with a status and a JSON body. It ignores write errors, since
// the client sees a truncated body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Fail sends an error response with a status and a message.
func Fail(w http.ResponseWriter, status int, message string) {
	Write(w, status, Error{Message: message})
}

// ReadStrict decodes one JSON object into target and rejects unknown keys and trailing bytes.
func ReadStrict(body io.Reader, target any) error {
	dec := json.NewDecoder(io.LimitReader(body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return errors.Wrap(err, "decode JSON")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("bytes after the JSON object")
	}
	return nil
}
