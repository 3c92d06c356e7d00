package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Exit codes of the command.
const (
	ExitFound    = 0
	ExitNotFound = 1
	ExitUsage    = 2
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// callEndedMessage is the message that a node logs when a call ends.
const callEndedMessage = "call_ended"

// LogLine is one log line of a request.
type LogLine struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Message string         `json:"msg"`
	Request string         `json:"request"`
	Fields  map[string]any `json:"fields"`
}

// Report holds the log lines of a request and of its nested calls.
type Report struct {
	Request string    `json:"request"`
	Cause   string    `json:"cause"`
	Lines   []LogLine `json:"lines"`
	// MalformedLines counts the lines that mention the request but are not JSON
	// objects.
	MalformedLines int `json:"unreadable"`
}

// Run executes the command and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	terminated := false
	app := kingpin.New("heathercroft explain", "Explains from collected logs what happened to a request. Exit codes: 0 found, 1 not found, 2 bad usage.")
	app.Terminate(func(int) { terminated = true })
	app.UsageWriter(out).ErrorWriter(errOut)
	requestID := app.Arg("id", "ID of the request.").Required().String()
	files := app.Flag("file", "Log file; may be repeated. Without it, lines are read from standard input.").Strings()
	output := app.Flag("output", "Output format: text or json.").Default("text").Enum("text", "json")
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft explain: %v\n", err)
		return ExitUsage
	}
	if terminated {
		return ExitFound
	}
	report := Report{Request: *requestID}
	if err := report.readAll(*files, in); err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft explain: %v\n", err)
		return ExitUsage
	}
	report.finalize()
	if report.MalformedLines > 0 {
		_, _ = fmt.Fprintf(errOut, "heathercroft explain: %d lines are not JSON objects and were skipped\n", report.MalformedLines)
	}
	if *output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			_, _ = fmt.Fprintf(errOut, "heathercroft explain: %v\n", err)
			return ExitUsage
		}
	} else {
		report.print(out)
	}
	if len(report.Lines) == 0 {
		return ExitNotFound
	}
	return ExitFound
}

func (s *Report) readAll(files []string, in io.Reader) error {
	if len(files) == 0 {
		return s.Read(in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		err = s.Read(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
	}
	return nil
}

// Read adds the lines of one log that belong to the request. Text before the JSON
// object of a line, such as a prefix added by a log collector, is ignored.
func (s *Report) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, s.Request) {
			continue
		}
		s.addLine(text)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (s *Report) addLine(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		s.MalformedLines++
		return
	}
	request, _ := fields["request"].(string)
	if request != s.Request && !strings.HasPrefix(request, s.Request+".") {
		return
	}
	line := LogLine{Request: request, Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	if timestamp, ok := fields["time"].(string); ok {
		line.Time, _ = time.Parse(time.RFC3339Nano, timestamp)
	}
	for _, key := range []string{"time", "level", "msg", "process", "node", "request"} {
		delete(fields, key)
	}
	s.Lines = append(s.Lines, line)
}

// finalize sorts the lines in causal order and sets the cause. Nested calls come
// before the lines of the request itself, and events at the target's node before
// the end of the call, even if the clocks of the nodes differ.
func (s *Report) finalize() {
	slices.SortStableFunc(s.Lines, func(a, b LogLine) int {
		if rank := callDepth(b, s.Request) - callDepth(a, s.Request); rank != 0 {
			return rank
		}
		if a.Request == b.Request && (a.Message == callEndedMessage) != (b.Message == callEndedMessage) {
			if a.Message == callEndedMessage {
				return 1
			}
			return -1
		}
		return a.Time.Compare(b.Time)
	})
	s.Cause = s.findCause()
}

// callDepth returns 0 for the request itself and 1 for its nested calls.
func callDepth(l LogLine, request string) int {
	if l.Request == request {
		return 0
	}
	return 1
}

// findCause returns the reason of the last line. If that line has none, it returns
// the reason of the last nested call that has one, since a failed nested call can
// make the request fail.
func (s *Report) findCause() string {
	if len(s.Lines) == 0 {
		return "no log line names the request: it was answered in time and not sampled, or reached no process that lived to write"
	}
	last := s.Lines[len(s.Lines)-1]
	if reason := stringField(last.Fields, "reason"); reason != "" {
		return describeOutcome(last, reason)
	}
	for _, l := range slices.Backward(s.Lines) {
		reason := stringField(l.Fields, "reason")
		if reason != "" && l.Request != s.Request {
			return "the call " + l.Request + " made for it: " + describeOutcome(l, reason)
		}
	}
	if status, ok := last.Fields["status"].(float64); ok && status >= 500 {
		return fmt.Sprintf("the target answered %d", int(status))
	}
	return stringField(last.Fields, "outcome")
}

func describeOutcome(l LogLine, reason string) string {
	outcome := stringField(l.Fields, "outcome")
	if outcome == "" {
		return reason
	}
	return outcome + ", " + reason
}

func stringField(fields map[string]any, key string) string {
	v, _ := fields[key].(string)
	return v
}

func (s *Report) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "request %s\ncause   %s\n", s.Request, s.Cause)
	for _, l := range s.Lines {
		_, _ = fmt.Fprintf(out, "%s %-20s %-16s", l.Time.Format("15:04:05.000"), l.Node, l.Message)
		if l.Request != s.Request {
			_, _ = fmt.Fprintf(out, " call=%s", l.Request)
		}
		keys := make([]string, 0, len(l.Fields))
		for k := range l.Fields {
			if k != "attempts" {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			_, _ = fmt.Fprintf(out, " %s=%v", k, l.Fields[k])
		}
		_, _ = fmt.Fprintln(out)
		printAttempts(out, l.Fields["attempts"])
	}
}

func printAttempts(out io.Writer, v any) {
	list, _ := v.([]any)
	for i, a := range list {
		fields, _ := a.(map[string]any)
		_, _ = fmt.Fprintf(out, "    attempt %d:", i+1)
		for _, k := range []string{"at_ms", "node", "target", "version", "outcome", "reason", "status", "took_ms", "target_ms", "wait_ms", "running", "waiting"} {
			if v, ok := fields[k]; ok {
				_, _ = fmt.Fprintf(out, " %s=%v", k, v)
			}
		}
		_, _ = fmt.Fprintln(out)
	}
}
