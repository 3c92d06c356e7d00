package collector

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/timeline"
)

var begin = time.Date(2026, 1, 2, 15, 0, 0, 0, time.UTC)

// recorder returns a recorder whose clock is off and advances 1 s with each event.
func recorder(process string, size int, offset time.Duration) *timeline.Recorder {
	now := begin.Add(offset)
	return timeline.NewRecorder(process, "casa-a", "s1", size, func() time.Time {
		now = now.Add(time.Second)
		return now
	})
}

func serve(t *testing.T, r *timeline.Recorder) string {
	mux := http.NewServeMux()
	mux.Handle(timeline.EventsPath, timeline.Handler(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// logFile writes the events of a recorder as JSON log lines among others.
func logFile(t *testing.T, r *timeline.Recorder, extra string) string {
	var buf bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&buf, nil))
	logger.Info("started", "note", `an "event" in a text`)
	for _, e := range r.EventsAfter(0, 100).Events {
		logger.LogAttrs(t.Context(), slog.LevelInfo, "event", timeline.LogAttr(e))
	}
	path := filepath.Join(t.TempDir(), "node.log")
	require.NoError(t, os.WriteFile(path, []byte(buf.String()+extra), 0o600))
	return path
}

func runProgram(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against a timeline that lacks a source or orders effects before causes.
func TestCollectsNodesAndLogFiles(t *testing.T) {
	a, b := recorder("node-a", 10, 0), recorder("node-b", 10, -time.Hour)
	a.Record(timeline.KindAppended, 7, map[string]string{"id": "op-1"})
	a.Record("apply", 8, nil)
	b.Record("apply", 7, nil)
	b.Record("cut", 0, map[string]string{"zone": "casa-a", "cause": "p99\n"})
	b.Record("apply", 8, nil)
	code, out, errOut := runProgram(t, "--node", serve(t, a), "--file", logFile(t, b, ""))
	require.Empty(t, errOut)
	require.Equal(t, exitOK, code)
	require.Equal(t, strings.Join([]string{
		`2026-01-02T15:00:01.000Z  node-a         7  appended id="op-1"`,
		`2026-01-02T14:00:01.000Z  node-b         7  apply`,
		`2026-01-02T14:00:02.000Z  node-b         -  cut cause="p99\n" zone="casa-a"`,
		`2026-01-02T15:00:02.000Z  node-a         8  apply`,
		`2026-01-02T14:00:03.000Z  node-b         8  apply`,
	}, "\n")+"\n", out)
}

// Guards against a loss that is not reported.
func TestReportsWhatIsMissing(t *testing.T) {
	small := recorder("node-a", 2, 0)
	for range 5 {
		small.Record("tick", 0, nil)
	}
	extra := `{"event":{"process":"x"}}` + "\n" + `{"event":{"process":7}}` + "\n" + `{"event"` + "\n"
	code, out, errOut := runProgram(t, "--format", "json", "--node", serve(t, small), "--node", "http://127.0.0.1:1", "--file", logFile(t, small, extra))
	require.Equal(t, exitPartial, code)
	require.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 2, "an event that was collected twice is kept once")
	require.True(t, json.Valid([]byte(strings.SplitN(out, "\n", 2)[0])))
	require.Contains(t, errOut, "127.0.0.1:1")
	require.Contains(t, errOut, "3 events had left the rings")
	require.Contains(t, errOut, "3 log lines hold no valid event")
}

// Guards against a batch boundary that loses or repeats events.
func TestCollectsManyBatches(t *testing.T) {
	const count = 2*timeline.MaxBatch + 1
	r := recorder("node-a", count, 0)
	for range count {
		r.Record("tick", 0, nil)
	}
	_, out, _ := runProgram(t, "--node", serve(t, r))
	require.Equal(t, count, strings.Count(out, "tick"))
}

// Guards against names that break the picture, and marks outside of it.
func TestPictureIsValid(t *testing.T) {
	var events []timeline.Event
	for i := range maxDrawn + 5 {
		events = append(events, timeline.Event{
			Process: fmt.Sprintf("<&\"'\x01\xff>%d", i%12), Session: "s", Sequence: uint64(i + 1), Time: begin,
			Kind: timeline.Kind("</svg><script>" + strconv.Itoa(i%9)), Revision: uint64(i % 4),
			Fields: map[string]string{"]]>": "<!--\x00"},
		})
	}
	var buf bytes.Buffer
	require.NoError(t, writeSVG(&buf, events))
	require.Contains(t, buf.String(), "5 older events are not drawn")
	elements, width, height := map[string]int{}, 0, 0
	dec := xml.NewDecoder(&buf)
	for {
		token, err := dec.Token()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		elements[start.Name.Local]++
		for _, a := range start.Attr {
			n, err := strconv.Atoi(a.Value)
			switch {
			case err != nil:
			case start.Name.Local == "svg" && a.Name.Local == "width":
				width = n
			case start.Name.Local == "svg" && a.Name.Local == "height":
				height = n
			case a.Name.Local == "cx" || a.Name.Local == "x":
				require.Less(t, n, width)
			case a.Name.Local == "cy" || a.Name.Local == "y":
				require.Less(t, n, height)
			}
		}
	}
	require.Equal(t, maxDrawn, elements["title"])
	require.Equal(t, 12, elements["line"])
	require.Zero(t, elements["script"])
	require.NoError(t, writeSVG(io.Discard, nil))
}

// Guards against bad usage that looks like an empty timeline.
func TestBadUsage(t *testing.T) {
	for want, args := range map[string][]string{
		"no source is given":        {},
		"is no base URL":            {"--node", "localhost"},
		"must be one of text,json":  {"--format", "png"},
		"no settings file is given": {"--check-settings"},
		`did you mean "nodes"`:      {"--settings", writeFile(t, "node = []")},
		"is not between 100ms and":  {"--settings", writeFile(t, "files = ['x']\ntimeout = '1ms'")},
	} {
		code, out, errOut := runProgram(t, args...)
		require.Equal(t, exitUsage, code, want)
		require.Contains(t, errOut, want)
		require.Empty(t, out)
	}
}

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "timeline.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against marks that hide each other, and against an effect that is drawn
// to the left of its cause.
func TestColumnsKeepOrderAndHideNothing(t *testing.T) {
	at := func(process string, kind timeline.Kind, revision uint64) timeline.Event {
		return timeline.Event{Process: process, Kind: kind, Revision: revision}
	}
	events := []timeline.Event{
		at("a", "appended", 5), at("a", "record-applied", 5), at("b", "record-applied", 5), at("c", "record-applied", 5),
		at("b", "record-applied", 5), at("c", "member-state", 0), at("a", "member-state", 0), at("a", "record-applied", 6),
	}
	require.Equal(t, []int{0, 1, 1, 1, 2, 3, 4, 5}, columnsOf(events))
	require.Empty(t, columnsOf(nil))
}
