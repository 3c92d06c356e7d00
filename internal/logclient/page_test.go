package logclient

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
)

// For any response of the platform, an accepted page starts at the requested offset
// and has no gap.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":2,"time_unix_ms":5,"data":"eA=="}]}`), uint64(2), 10)
	f.Add([]byte(`{"first":18446744073709551615,"next":0,"records":[{"offset":18446744073709551615}]}`), uint64(1<<64-1), 10)
	f.Add([]byte(`{"first":1,"next":1,"records":null}`), uint64(1), 1)
	f.Fuzz(func(t *testing.T, body []byte, from uint64, max int) {
		page, err := decodePage(body, record.Revision(from), max)
		if err != nil {
			require.True(t, errors.Is(err, ErrMalformed))
			return
		}
		require.LessOrEqual(t, len(page.Entries), max)
		require.LessOrEqual(t, page.First, page.Next)
		for i, e := range page.Entries {
			require.Equal(t, record.Revision(from)+record.Revision(i), e.Offset)
			require.Less(t, e.Offset, page.Next)
		}
	})
}
