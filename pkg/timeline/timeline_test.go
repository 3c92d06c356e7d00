package timeline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 15, 0, 0, 0, time.UTC)

// drawEvents returns the events of up to 5 sessions with clock offsets of up to an
// hour. Revisions do not decrease within a session unless anyRevision is set.
func drawEvents(t *rapid.T, anyRevision bool) []Event {
	var events []Event
	for session := range rapid.IntRange(1, 5).Draw(t, "lanes") {
		offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
		now, revision := start, uint64(0)
		for i := range rapid.IntRange(0, 12).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "gap")) * time.Second)
			e := Event{Process: fmt.Sprintf("p%d", session/2), Session: fmt.Sprintf("s%d", session), Sequence: uint64(i + 1), Time: now.Add(offset)}
			if rapid.Bool().Draw(t, "has revision") {
				step := rapid.IntRange(0, 3).Draw(t, "step")
				if revision += uint64(step); step > 0 && rapid.Bool().Draw(t, "appended") {
					e.Kind = KindAppended
				}
				if anyRevision {
					revision = uint64(rapid.IntRange(0, 9).Draw(t, "revision"))
				}
				e.Revision = revision
			}
			events = append(events, e)
		}
	}
	return events
}

// An effect must not precede its cause.
func TestMergeKeepsSequenceAndRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyRevision := rapid.Bool().Draw(t, "wild")
		events := drawEvents(t, anyRevision)
		merged := Merge(events)
		require.ElementsMatch(t, events, merged)
		last := map[string]uint64{}
		highest := uint64(0)
		for _, e := range merged {
			require.Equal(t, last[e.Session]+1, e.Sequence, "sequence of %s", e.Session)
			last[e.Session] = e.Sequence
			if e.Revision != 0 && !anyRevision {
				require.GreaterOrEqual(t, revisionRank(e), highest)
				highest = revisionRank(e)
			}
		}
	})
}

// The order must not depend on the order of collection, or on events collected twice.
func TestMergeIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t, true)
		want := Merge(events)
		shuffled := rapid.Permutation(append(slices.Clone(events), want...)).Draw(t, "shuffled")
		require.Equal(t, want, Merge(shuffled))
	})
}

// Events without a revision must be ordered by corrected clocks.
func TestMergeUsesTheEstimatedOffset(t *testing.T) {
	at := func(process string, sequence uint64, second int, offset time.Duration, revision uint64) Event {
		return Event{Process: process, Session: "s", Sequence: sequence, Time: start.Add(time.Duration(second)*time.Second + offset), Revision: revision}
	}
	const off = -20 * time.Minute
	events := []Event{
		at("a", 1, 0, 0, 1), at("a", 2, 10, 0, 0), at("a", 3, 20, 0, 2), at("a", 4, 30, 0, 0),
		at("b", 1, 0, off, 1), at("b", 2, 5, off, 0), at("b", 3, 20, off, 2), at("b", 4, 25, off, 0),
	}
	require.Equal(t, map[string]time.Duration{"a": 0, "b": off}, EstimateOffsets(events))
	var order []string
	for _, e := range Merge(events) {
		order = append(order, fmt.Sprint(e.Process, e.Sequence))
	}
	require.Equal(t, []string{"a1", "b1", "b2", "a2", "a3", "b3", "b4", "a4"}, order)
}

// The ring buffer must keep the newest events and report how many it overwrote.
func TestRecorderKeepsTheNewestEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, count := rapid.IntRange(1, 8).Draw(t, "size"), rapid.IntRange(0, 30).Draw(t, "count")
		after, limit := rapid.IntRange(0, 40).Draw(t, "after"), rapid.IntRange(1, 9).Draw(t, "limit")
		r := NewRecorder("p", "z", "s", size, func() time.Time { return start })
		for range count {
			r.Record("k", 0, nil)
		}
		dropped := max(count-size, 0)
		require.EqualValues(t, dropped, r.Dropped())
		b := r.EventsAfter(uint64(after), limit)
		require.EqualValues(t, max(dropped-after, 0), b.Missed)
		require.Len(t, b.Events, min(limit, max(count-max(after, dropped), 0)))
		for i, e := range b.Events {
			require.EqualValues(t, max(after, dropped)+1+i, e.Sequence)
		}
	})
}

// A long poll must not miss an event, must end, and must reject invalid parameters.
func TestHandlerWaitsForEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRecorder("p", "z", "s", 8, nil)
		get := func(method, query string) (int, Batch) {
			w := httptest.NewRecorder()
			Handler(r).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, EventsPath+query, nil))
			var b Batch
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
			return w.Code, b
		}
		r.Record("first", 3, map[string]string{"zone": "casa-a"})
		begin := time.Now()
		code, batch := get(http.MethodGet, "")
		require.Equal(t, 200, code)
		require.Equal(t, "casa-a", batch.Events[0].Fields["zone"])
		go func() {
			<-time.After(2 * time.Second)
			r.Record("second", 0, nil)
		}()
		_, batch = get(http.MethodGet, "?after=1&wait_ms=5000")
		require.Equal(t, Kind("second"), batch.Events[0].Kind)
		require.Equal(t, 2*time.Second, time.Since(begin))
		_, batch = get(http.MethodGet, "?after=2&wait_ms=1000")
		require.Empty(t, batch.Events)
		require.Equal(t, 3*time.Second, time.Since(begin))
		for _, query := range []string{"?after=-1", "?after=1&after=2", "?wait_ms=60001", "?afer=1", "?after=%zz"} {
			code, _ = get(http.MethodGet, query)
			require.Equal(t, 400, code, query)
		}
		code, _ = get(http.MethodPost, "")
		require.Equal(t, 405, code)
	})
}
