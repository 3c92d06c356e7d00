package settings

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Output is an output format.
type Output string

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Output) UnmarshalText(text []byte) error {
	known := []string{"text", "json"}
	if !slices.Contains(known, string(text)) {
		return errors.Newf("%q is not an output format; use \"text\" or \"json\"", text)
	}
	*o = Output(text)
	return nil
}

// Operator holds the settings of the operator command-line tool.
type Operator struct {
	// Nodes are the admin listeners of nodes, in the order to try them.
	Nodes  []BaseURL `toml:"nodes"`
	Output Output    `toml:"output"`
	// ConnectTimeout is the time limit for connecting to one node.
	ConnectTimeout Duration `toml:"connect_timeout"`
}

// DefaultOperator returns the default settings of the operator tool.
func DefaultOperator() Operator {
	return Operator{Output: "text", ConnectTimeout: Duration(2 * time.Second)}
}

// Validate implements Validator.
func (o *Operator) Validate() error {
	return firstProblem(
		required("nodes", len(o.Nodes) > 0),
		inRange("connect_timeout", o.ConnectTimeout, Duration(10*time.Millisecond), Duration(time.Minute)),
	)
}

// Timeline holds the settings of the timeline collector.
type Timeline struct {
	// Nodes are the admin listeners of the nodes to collect from.
	Nodes []BaseURL `toml:"nodes"`
	// Files are JSON log files to collect from.
	Files []string `toml:"files"`
	// Timeout is the time limit for collecting from one node.
	Timeout Duration `toml:"timeout"`
	// MaxEvents is the maximum number of events that are kept in memory.
	MaxEvents int `toml:"max_events"`
}

// DefaultTimeline returns the default settings of the timeline collector.
func DefaultTimeline() Timeline {
	return Timeline{Timeout: Duration(10 * time.Second), MaxEvents: 1_000_000}
}

// Validate implements Validator.
func (t *Timeline) Validate() error {
	return firstProblem(
		required("nodes or files", len(t.Nodes)+len(t.Files) > 0),
		inRange("timeout", t.Timeout, Duration(100*time.Millisecond), Duration(10*time.Minute)),
		inRange("max_events", t.MaxEvents, 1, 100_000_000),
	)
}

// Check implements --check-settings: it loads a settings file, prints "ok" or the
// error, and returns the exit code, 0 or, for invalid settings, 2.
func Check(out, errOut io.Writer, path string, target Validator) int {
	err := errors.New("no settings file is given")
	if path != "" {
		err = Load(path, target)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return 2
	}
	_, _ = fmt.Fprintf(out, "%s: ok\n", path)
	return 0
}
