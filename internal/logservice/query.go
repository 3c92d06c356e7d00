package logservice

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// readQuery is the parsed query of a read.
type readQuery struct {
	from record.Revision
	max  int
	wait time.Duration
}

// parseRead checks the query of a read and lowers max and wait_ms to their limits.
func parseRead(values url.Values) (readQuery, error) {
	from, err := strconv.ParseUint(values.Get("from"), 10, 64)
	if err != nil || from == 0 {
		return readQuery{}, errors.Newf("from %q is no offset; offsets start at 1", values.Get("from"))
	}
	limit, err := parseCount(values, "max", maxPageRecords)
	if err != nil {
		return readQuery{}, err
	}
	if limit == 0 {
		return readQuery{}, errors.New("max is 0")
	}
	wait, err := parseCount(values, "wait_ms", 0)
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{
		from: record.Revision(from),
		max:  int(min(limit, maxPageRecords)),
		wait: time.Duration(min(wait, maxWait.Milliseconds())) * time.Millisecond,
	}, nil
}

func parseCount(values url.Values, key string, absent int64) (int64, error) {
	text := values.Get(key)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Newf("%s %q is no count", key, text)
	}
	return n, nil
}
