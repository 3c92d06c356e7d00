// Package collector collects the timeline events of many processes, merges them
// and writes them as text, JSON or a picture.
package collector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// Bounds of a collection.
const (
	// parallelNodes is how many nodes are asked at once.
	parallelNodes = 16
	// maxResponse bounds one response of a node in bytes.
	maxResponse = 16 << 20
	// maxLine bounds a line of a log file in bytes.
	maxLine = 1 << 20
)

// Collection is what was collected.
type Collection struct {
	Events []timeline.Event
	// Missed is how many events had left the rings of the nodes.
	Missed uint64
	// Left is how many events were left out over the bound on events.
	Left int
	// SkippedLines is how many lines of log files with an event could not be read.
	SkippedLines int
	// Problems are the sources that could not be read whole.
	Problems []string
}

// source is what one node or file contributed.
type source struct {
	events  []timeline.Event
	missed  uint64
	skipped int
	err     error
}

// Collect reads all nodes and files of the settings. A source that fails is
// reported and does not stop the others.
func Collect(ctx context.Context, s settings.Timeline) Collection {
	sources := make([]source, len(s.Nodes)+len(s.Files))
	var group errgroup.Group
	group.SetLimit(parallelNodes)
	for i, node := range s.Nodes {
		group.Go(func() error {
			sources[i] = readNode(ctx, node, s.Timeout.Std(), s.MaxEvents)
			return nil
		})
	}
	_ = group.Wait() // the errors are in the sources
	for i, file := range s.Files {
		sources[len(s.Nodes)+i] = readFile(file, s.MaxEvents)
	}
	return join(sources, s.MaxEvents)
}

func join(sources []source, limit int) Collection {
	var c Collection
	for _, s := range sources {
		taken := min(len(s.events), limit-len(c.Events))
		c.Events = append(c.Events, s.events[:taken]...)
		c.Left += len(s.events) - taken
		c.Missed += s.missed
		c.SkippedLines += s.skipped
		if s.err != nil {
			c.Problems = append(c.Problems, s.err.Error())
		}
	}
	c.Events = timeline.Merge(c.Events)
	return c
}

// readNode reads the events of a node batch by batch.
func readNode(ctx context.Context, node settings.BaseURL, timeout time.Duration, limit int) source {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext}
	defer transport.CloseIdleConnections()
	var s source
	after := uint64(0)
	for len(s.events) < limit {
		batch, err := readBatch(ctx, transport, node, after)
		if err != nil {
			s.err = errors.Wrap(err, node.String())
			return s
		}
		s.missed += batch.Missed
		if len(batch.Events) == 0 {
			return s
		}
		last := batch.Events[len(batch.Events)-1].Sequence
		if last <= after {
			s.err = errors.Newf("%s: the sequence goes back from %d to %d", node, after, last)
			return s
		}
		after = last
		s.events = append(s.events, batch.Events...)
		if len(batch.Events) < timeline.MaxBatch {
			// All events so far. Asking on would follow a busy node without an end.
			return s
		}
	}
	return s
}

func readBatch(ctx context.Context, transport http.RoundTripper, node settings.BaseURL, after uint64) (timeline.Batch, error) {
	var batch timeline.Batch
	url := fmt.Sprintf("%s%s?after=%d", node, timeline.EventsPath, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return batch, err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return batch, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return batch, errors.Newf("HTTP status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxResponse)).Decode(&batch)
	return batch, errors.Wrap(err, "the response is no batch of events")
}

// logLine is the part of a JSON log line that matters here.
type logLine struct {
	Event *timeline.Event `json:"event"`
}

// readFile reads the events of a file with JSON log lines. Lines without an event
// are passed over.
func readFile(path string, limit int) source {
	f, err := os.Open(path)
	if err != nil {
		return source{err: errors.Wrap(err, "log file")}
	}
	defer f.Close()
	return readLines(path, f, limit)
}

func readLines(name string, r io.Reader, limit int) source {
	var s source
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for len(s.events) < limit && scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(`"`+timeline.LogKey+`"`)) {
			continue
		}
		var line logLine
		err := json.Unmarshal(scanner.Bytes(), &line)
		switch {
		case err != nil, line.Event != nil && !usable(*line.Event):
			s.skipped++
		case line.Event != nil:
			s.events = append(s.events, *line.Event)
		}
	}
	s.err = errors.Wrap(scanner.Err(), name)
	return s
}

// usable reports whether an event can be placed in an order.
func usable(e timeline.Event) bool {
	return e.Process != "" && e.Sequence != 0 && e.Kind != ""
}
