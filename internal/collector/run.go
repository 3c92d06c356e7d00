package collector

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// Exit codes of the program.
const (
	exitOK = 0
	// exitPartial: a source could not be read whole; the rest was written.
	exitPartial = 1
	exitUsage   = 2
)

// writers are the forms of output.
var writers = map[string]func(io.Writer, []timeline.Event) error{
	"text": writeText, "json": writeJSON, "svg": writeSVG,
}

// arguments are the parsed arguments of the program.
type arguments struct {
	nodes, files  []string
	format        string
	output        string
	settings      string
	checkSettings bool
}

// Run runs the timeline collector and returns its exit code: 0, 1 if a source
// could not be read whole, or 2 for bad usage.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a, done, err := parseArguments(args, out, errOut)
	if done {
		return exitOK
	}
	if err == nil && a.checkSettings {
		s := settings.DefaultTimeline()
		return settings.Check(out, errOut, a.settings, &s)
	}
	var s settings.Timeline
	if err == nil {
		s, err = a.merged()
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft-timeline: %v\n", err)
		return exitUsage
	}
	c := Collect(ctx, s)
	problems := c.report()
	if err := a.write(out, c.Events); err != nil {
		problems = append(problems, err.Error())
	}
	for _, p := range problems {
		_, _ = fmt.Fprintf(errOut, "heathercroft-timeline: %s\n", p)
	}
	if len(problems) > 0 {
		return exitPartial
	}
	return exitOK
}

func parseArguments(args []string, out, errOut io.Writer) (a arguments, done bool, err error) {
	app := kingpin.New("heathercroft-timeline", "Collects the events of all processes and writes them in one order. Exit codes: 0 done, 1 a source could not be read whole, 2 bad usage.")
	app.Terminate(func(int) { done = true })
	app.UsageWriter(out).ErrorWriter(errOut)
	app.Version(build.Current().String())
	app.Flag("node", "Base URL of a node's admin listener. Repeat it for more nodes.").StringsVar(&a.nodes)
	app.Flag("file", "File with JSON log lines. Repeat it for more files.").StringsVar(&a.files)
	app.Flag("format", "Form of the output: text, json or svg.").Default("text").EnumVar(&a.format, "text", "json", "svg")
	app.Flag("output", "File to write; standard output without it.").StringVar(&a.output)
	app.Flag("settings", "Settings file in TOML. Nodes and files of the command line are added.").StringVar(&a.settings)
	app.Flag("check-settings", "Check the settings file and stop.").BoolVar(&a.checkSettings)
	_, err = app.Parse(args)
	return a, done, err
}

// merged adds the nodes and files of the command line to those of the settings file.
func (a arguments) merged() (settings.Timeline, error) {
	s := settings.DefaultTimeline()
	if a.settings != "" {
		if err := settings.Load(a.settings, &s); err != nil {
			return s, err
		}
	}
	for _, n := range a.nodes {
		var url settings.BaseURL
		if err := url.UnmarshalText([]byte(n)); err != nil {
			return s, errors.Wrap(err, "--node")
		}
		s.Nodes = append(s.Nodes, url)
	}
	s.Files = append(s.Files, a.files...)
	if len(s.Nodes)+len(s.Files) == 0 {
		return s, errors.New("no source is given; use --node, --file or a settings file")
	}
	return s, nil
}

func (a arguments) write(out io.Writer, events []timeline.Event) error {
	if a.output == "" {
		return writers[a.format](out, events)
	}
	f, err := os.Create(a.output)
	if err != nil {
		return errors.Wrap(err, "--output")
	}
	return errors.CombineErrors(writers[a.format](f, events), f.Close())
}

// report lists what the timeline lacks.
func (c Collection) report() []string {
	problems := c.Problems
	if c.Missed > 0 {
		problems = append(problems, fmt.Sprintf("%d events had left the rings of the nodes", c.Missed))
	}
	if c.Left > 0 {
		problems = append(problems, fmt.Sprintf("%d events are over the bound max_events", c.Left))
	}
	if c.SkippedLines > 0 {
		problems = append(problems, fmt.Sprintf("%d log lines hold no valid event", c.SkippedLines))
	}
	return problems
}
