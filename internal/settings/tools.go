package settings

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Output is a form of output.
type Output string

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Output) UnmarshalText(text []byte) error {
	known := []string{"text", "json"}
	if !slices.Contains(known, string(text)) {
		return errors.Newf("%q is no form of output; use \"text\" or \"json\"", text)
	}
	*o = Output(text)
	return nil
}

// Operator holds the settings of the operators' program.
type Operator struct {
	// Nodes are the admin listeners of nodes, in the order to try them.
	Nodes []BaseURL `toml:"nodes"`
	// Output is the form of the output.
	Output Output `toml:"output"`
	// ConnectTimeout bounds the time to connect to one node.
	ConnectTimeout Duration `toml:"connect_timeout"`
}

// DefaultOperator returns the defaults.
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
	// Timeout bounds the collection from one node.
	Timeout Duration `toml:"timeout"`
	// MaxEvents bounds the events that are kept in memory.
	MaxEvents int `toml:"max_events"`
}

// DefaultTimeline returns the defaults.
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

// Check reads a settings file, prints "ok" or the error, and returns the exit
// code of --check-settings: 0, or 2 if the settings can't be used.
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
