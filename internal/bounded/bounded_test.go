package bounded_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/internal/bounded"
)

// endless is a message without an end. It counts what is read.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

// Guards against memory without bound for a message that never ends.
func TestEndlessMessageStopsAtTheLimit(t *testing.T) {
	source, memory := &endless{}, bounded.NewMemory(1<<20)
	lease := memory.Lease()
	_, err := bounded.ReadAll(source, -1, 64<<10, lease)
	require.ErrorIs(t, err, bounded.ErrTooLarge)
	require.LessOrEqual(t, source.read, int64(64<<10+1))
	lease.Release()
	require.Zero(t, memory.Held())
	_, err = bounded.ReadAll(source, 1<<40, 64<<10, nil)
	require.ErrorIs(t, err, bounded.ErrTooLarge)
}

// Guards against many messages that are small alone and too much together.
func TestMessagesShareTheMemory(t *testing.T) {
	memory := bounded.NewMemory(100 << 10)
	leases := make([]*bounded.Lease, 10)
	refused := 0
	for i := range leases {
		leases[i] = memory.Lease()
		if _, err := bounded.ReadAll(strings.NewReader(strings.Repeat("x", 20<<10)), 20<<10, 1<<20, leases[i]); err != nil {
			require.ErrorIs(t, err, bounded.ErrMemory)
			refused++
		}
		require.LessOrEqual(t, memory.Held(), int64(100<<10))
	}
	require.Positive(t, refused)
	require.True(t, memory.Full(0.5))
	for _, l := range leases {
		l.Release()
	}
	require.Zero(t, memory.Held())
}

// Guards against a message that is taken for complete although it broke off, and against
// one that changes on the way.
func TestMessageIsWholeOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "data")
		length := rapid.SampledFrom([]int64{-1, int64(len(data)), int64(len(data)) + 1}).Draw(t, "length")
		limit := rapid.Int64Range(0, 30_000).Draw(t, "limit")
		var source io.Reader = bytes.NewReader(data)
		broken := rapid.Bool().Draw(t, "reset")
		if broken {
			source = io.MultiReader(source, iotest.ErrReader(io.ErrClosedPipe))
		}
		got, err := bounded.ReadAll(iotest.HalfReader(source), length, limit, nil)
		if broken || length > int64(len(data)) || int64(len(data)) > limit {
			require.Error(t, err)
			return
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, got))
	})
}

// Guards against a head that is cut off at its limit and parsed as if it had ended.
func TestReaderReportsItsLimit(t *testing.T) {
	r := bounded.NewReader(strings.NewReader("0123456789"))
	r.Limit(4)
	got, err := io.ReadAll(r)
	require.ErrorIs(t, err, bounded.ErrTooLarge)
	require.Equal(t, "0123", string(got))
	r.Unlimit()
	got, err = io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "456789", string(got))
}

// Guards against large messages that leave no memory for small ones.
func TestLargeMessagesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, large = 1 << 20, 100 << 10
	memory := bounded.NewMemory(limit)
	var leases []*bounded.Lease
	for {
		l := memory.Lease()
		leases = append(leases, l)
		if err := l.Grow(large); err != nil {
			require.ErrorIs(t, err, bounded.ErrMemory)
			break
		}
	}
	require.LessOrEqual(t, memory.Held(), int64(limit*7/10))
	small := memory.Lease()
	require.NoError(t, small.Grow(60<<10))
	require.ErrorIs(t, small.Grow(10<<10), bounded.ErrMemory, "the lease would become large")
	leases[0].Release()
	require.NoError(t, small.Grow(10<<10))
	for _, l := range append(leases, small) {
		l.Release()
	}
	require.Zero(t, memory.Held())
	require.NoError(t, memory.Lease().Grow(limit*7/10), "the share of the large ones must be free again")
}
