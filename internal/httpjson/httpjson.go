// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes bounds a control body in bytes.
const maxBodyBytes = 64 << 10

// Error is the body of a refusal.
type Error struct {
	Message string `json:"message"`
}

// Write answers with a status and a JSON body. A failed write shows at the client as a short body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Fail answers with a status and a message.
func Fail(w http.ResponseWriter, status int, message string) {
	Write(w, status, Error{Message: message})
}

// ReadStrict decodes one JSON object into target and refuses unknown keys and trailing bytes.
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
