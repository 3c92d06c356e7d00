package logclient

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// Entry is one record of a stream as stored by the platform.
type Entry struct {
	Offset     record.Revision `json:"offset"`
	TimeUnixMS int64           `json:"time_unix_ms"`
	Data       []byte          `json:"data"`
}

// Page is a range of a stream. Its entries have consecutive offsets.
type Page struct {
	// First is the oldest offset that the platform holds.
	First record.Revision `json:"first"`
	// Next is the offset that the next append will get.
	Next record.Revision `json:"next"`
	// Era rises when the log is restored from an older copy and gives offsets out again. It is
	// 0 if the platform names none.
	Era     uint64  `json:"era,omitempty"`
	Entries []Entry `json:"records"`
}

func malformed(mark error, format string, args ...any) error {
	return errors.Mark(errors.Mark(errors.Newf(format, args...), ErrMalformed), mark)
}

func decodeAppendResponse(body []byte) (record.Revision, error) {
	var response struct {
		Offset record.Revision `json:"offset"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, malformed(ErrUnknown, "answer: %v", err)
	}
	if response.Offset == 0 {
		return 0, malformed(ErrUnknown, "answer has no offset")
	}
	return response.Offset, nil
}

func decodeOutOfRange(body []byte) error {
	var page Page
	if err := json.Unmarshal(body, &page); err != nil {
		return malformed(ErrUnavailable, "out of range: %v", err)
	}
	if page.First == 0 || page.Next < page.First {
		return malformed(ErrUnavailable, "out of range with first %d and next %d", page.First, page.Next)
	}
	return &OutOfRangeError{First: page.First, Next: page.Next, Era: page.Era}
}

// decodePage decodes a page and checks that it starts at the requested offset and has
// no gap, since the reducer applies entries in the order of the page.
func decodePage(body []byte, from record.Revision, max int) (Page, error) {
	var page Page
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, malformed(ErrUnavailable, "page: %v", err)
	}
	if page.First == 0 || page.Next < page.First || len(page.Entries) > max {
		return Page{}, malformed(ErrUnavailable, "page with first %d, next %d and %d entries", page.First, page.Next, len(page.Entries))
	}
	for i, e := range page.Entries {
		if want := from + record.Revision(i); e.Offset != want || e.Offset >= page.Next {
			return Page{}, malformed(ErrUnavailable, "offset %d instead of %d, next is %d", e.Offset, want, page.Next)
		}
	}
	return page, nil
}
