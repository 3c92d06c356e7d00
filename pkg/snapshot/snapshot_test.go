package snapshot

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

func noise(size int, seed uint64) []byte {
	data := make([]byte, size)
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// TestEncodeDecode guards against a snapshot that changes the state.
func TestEncodeDecode(t *testing.T) {
	s := state.New()
	s.Revision = 7
	s.Nodes["n"] = state.Node{NodeAnnounced: record.NodeAnnounced{Node: "n"}, Revision: 3}
	data, err := Encode(s)
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	want, err := s.Digest()
	require.NoError(t, err)
	got, err := decoded.Digest()
	require.NoError(t, err)
	require.Equal(t, want, got)
	for _, corrupt := range [][]byte{nil, data[:len(data)/2], bytes.Repeat([]byte{1}, 40)} {
		_, err := Decode(corrupt)
		require.ErrorIs(t, err, ErrInvalid)
	}
}

// TestJoin guards against snapshots joined from parts of several snapshots or from
// corrupt parts, and against an older one returned while a newer complete one exists.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type complete struct {
			revision record.Revision
			data     []byte
		}
		var best complete
		var stream [][]byte
		for i := range rapid.IntRange(1, 4).Draw(t, "snapshots") {
			revision := record.Revision(i + 1)
			data := noise(rapid.IntRange(1, 3*MaxPartBytes).Draw(t, "bytes"), uint64(i))
			parts, err := Split(revision, data)
			require.NoError(t, err)
			damage := rapid.SampledFrom([]string{"none", "lose", "garble", "repeat"}).Draw(t, "damage")
			at := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
			switch damage {
			case "lose":
				parts = slices.Delete(parts, at, at+1)
			case "garble":
				parts[at] = bytes.Replace(parts[at], []byte(`"data":"`), []byte(`"data":"AAAA`), 1)
			case "repeat":
				parts = append(parts, parts[at])
			}
			if damage == "none" || damage == "repeat" {
				best = complete{revision, data}
			}
			stream = append(stream, parts...)
		}
		stream = append(stream, []byte("{"), []byte(`{"count":-1}`), []byte(`{"index":9,"count":2}`))
		rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order"))).Shuffle(len(stream), func(i, j int) {
			stream[i], stream[j] = stream[j], stream[i]
		})
		revision, data, ok := Join(stream)
		require.Equal(t, best.revision > 0, ok)
		require.Equal(t, best.revision, revision)
		require.True(t, bytes.Equal(best.data, data))
	})
}

// TestPartSize guards against parts that the platform rejects for their size.
func TestPartSize(t *testing.T) {
	parts, err := Split(1, noise(MaxPartBytes+1, 0))
	require.NoError(t, err)
	require.Len(t, parts, 2)
	require.Less(t, len(parts[0]), record.MaxSize)
	_, err = Split(1, nil)
	require.ErrorIs(t, err, ErrInvalid)
	_, err = Split(1, make([]byte, MaxBytes+1))
	require.ErrorIs(t, err, ErrInvalid)
}

// TestDue guards against a snapshot stream whose last snapshot is dropped by
// retention, and against one that grows needlessly.
func TestDue(t *testing.T) {
	for _, c := range []struct {
		s   ScheduleInput
		due bool
	}{
		{ScheduleInput{Revision: 0, SinceLast: time.Hour, Retention: time.Hour}, false},
		{ScheduleInput{Revision: 4095, LastSnapshot: 0}, false},
		{ScheduleInput{Revision: 4096, LastSnapshot: 0}, true},
		{ScheduleInput{Revision: 10, LastSnapshot: 10, SinceLast: 14 * time.Minute, Retention: time.Hour}, false},
		{ScheduleInput{Revision: 10, LastSnapshot: 10, SinceLast: 15 * time.Minute, Retention: time.Hour}, true},
		{ScheduleInput{Revision: 9, LastSnapshot: 10, SinceLast: time.Hour, Retention: time.Hour}, false},
		{ScheduleInput{Revision: 5000, LastSnapshot: 4990, SinceLast: time.Hour}, false},
	} {
		require.Equal(t, c.due, Due(c.s), "%+v", c.s)
	}
}

// TestAuthor guards against a selection that depends on the order of the readers,
// and against one reader that appends all snapshots.
func TestAuthor(t *testing.T) {
	_, ok := SelectAuthor(1, nil)
	require.False(t, ok)
	authors := make(map[mesh.NodeID]int)
	for revision := range record.Revision(100) {
		a, ok := SelectAuthor(revision, []mesh.NodeID{"a", "b"})
		require.True(t, ok)
		b, _ := SelectAuthor(revision, []mesh.NodeID{"b", "a"})
		require.Equal(t, a, b)
		authors[a]++
	}
	require.Len(t, authors, 2)
}
