package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/explain"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/routequery"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/state"
)

// The forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// arguments are the parsed arguments of the program.
type arguments struct {
	nodes         []string
	output        string
	id            string
	fromFile      bool
	file          string
	settings      string
	checkSettings bool
	wait          string
	within        string
	words         []string
}

// IO are the streams of the program.
type IO struct {
	In       io.Reader
	Out, Err io.Writer
}

// Run runs the operators' program and returns its exit code.
func Run(ctx context.Context, args []string, std IO) int {
	if len(args) > 0 && args[0] == "explain" {
		return explain.Run(args[1:], std.In, std.Out, std.Err)
	}
	if len(args) > 0 && args[0] == "route" {
		return routequery.Run(ctx, args[1:], std.Out, std.Err)
	}
	a, done, err := parseArguments(args, std)
	if err != nil {
		return usage(std, err)
	}
	if done {
		return query.ExitDone
	}
	if a.checkSettings {
		file := settings.DefaultOperator()
		return settings.Check(std.Out, std.Err, a.settings, &file)
	}
	client, err := a.client()
	if err != nil {
		return usage(std, err)
	}
	text, err := a.text(std.In)
	if err != nil {
		return usage(std, err)
	}
	command, err := query.Parse(text)
	if err != nil {
		return usage(std, err)
	}
	return a.send(ctx, client, text, query.Bound(command), std)
}

func usage(std IO, err error) int {
	_, _ = fmt.Fprintf(std.Err, "heathercroft: %v\n", err)
	return query.ExitUsage
}

// parseArguments reads the command line. It reports done if it printed the help.
func parseArguments(args []string, std IO) (a arguments, done bool, err error) {
	app := kingpin.New("heathercroft", "Sends a command to a node and prints the reply. Exit codes: 0 done, 1 refused, 2 bad usage, 3 not done when the wait ended. \"heathercroft explain ID\" tells from logs what happened to a request, \"heathercroft route METHOD HOST PATH\" where a node would send one.")
	app.Terminate(func(int) { done = true })
	app.UsageWriter(std.Out).ErrorWriter(std.Err)
	app.Version(build.Current().String())
	app.Flag("node", "Base URL of a node, such as http://10.0.0.1:7003. Repeat it for nodes to try next.").StringsVar(&a.nodes)
	app.Flag("output", "Form of the output: text or json.").EnumVar(&a.output, outputText, outputJSON)
	app.Flag("id", "Id of the change. Repeat a command with the id of its first attempt to give it one effect.").StringVar(&a.id)
	app.Flag("file", "File that holds the command, or - for standard input.").IsSetByUser(&a.fromFile).StringVar(&a.file)
	app.Flag("wait", "Adds the option wait to the command: how long acceptance may be deferred.").StringVar(&a.wait)
	app.Flag("within", "Adds the option within to the command: how long to wait for the outcome.").StringVar(&a.within)
	app.Flag("settings", "Settings file in TOML with the nodes, the output and the connect timeout.").StringVar(&a.settings)
	app.Flag("check-settings", "Check the settings file and stop.").BoolVar(&a.checkSettings)
	app.Arg("command", "The command; its words may be separate arguments.").StringsVar(&a.words)
	_, err = app.Parse(args)
	if done {
		return a, true, nil
	}
	return a, false, err
}

// client merges the settings file with the flags, which take precedence.
func (a *arguments) client() (Client, error) {
	file := settings.DefaultOperator()
	if a.settings != "" {
		if err := settings.Load(a.settings, &file); err != nil {
			return Client{}, err
		}
	}
	if len(a.nodes) > 0 {
		file.Nodes = nil
	}
	for _, n := range a.nodes {
		var url settings.BaseURL
		if err := url.UnmarshalText([]byte(n)); err != nil {
			return Client{}, errors.Wrap(err, "--node")
		}
		file.Nodes = append(file.Nodes, url)
	}
	if len(file.Nodes) == 0 {
		return Client{}, errors.New("no node is given; use --node or a settings file")
	}
	if a.output == "" {
		a.output = string(file.Output)
	}
	if a.id == "" {
		a.id = NewID()
	}
	if !state.ValidName(a.id) {
		return Client{}, errors.Newf("--id: %q is no valid id; use up to 128 letters, digits, '-', '_' and '.'", a.id)
	}
	return Client{Nodes: file.Nodes, ConnectTimeout: file.ConnectTimeout.Std()}, nil
}

// text returns the command with the options that were given as flags.
func (a *arguments) text(in io.Reader) (string, error) {
	text := strings.Join(a.words, " ")
	if a.fromFile {
		if len(a.words) > 0 {
			return "", errors.New("give the command either as arguments or by --file")
		}
		read, err := readCommand(a.file, in)
		if err != nil {
			return "", err
		}
		// The line break ends a comment in the last line of the file.
		text = strings.TrimRight(read, "\r\n")
		if a.wait != "" || a.within != "" {
			text += "\n"
		}
	}
	if a.wait != "" {
		text += " wait " + a.wait
	}
	if a.within != "" {
		text += " within " + a.within
	}
	return text, nil
}

func readCommand(path string, in io.Reader) (string, error) {
	// The library passes a lone "-" on as an empty value.
	if path != "-" && path != "" {
		f, err := os.Open(path)
		if err != nil {
			return "", errors.Wrap(err, "--file")
		}
		defer f.Close()
		in = f
	}
	// One byte over the limit makes the parser report the size.
	data, err := io.ReadAll(io.LimitReader(in, query.MaxText+1))
	return string(data), errors.Wrap(err, "--file")
}

func (a *arguments) send(ctx context.Context, client Client, text string, within time.Duration, std IO) int {
	reply, err := client.Send(ctx, a.id, text, within)
	if err != nil {
		return usage(std, err)
	}
	if a.output == outputJSON {
		err = json.NewEncoder(std.Out).Encode(reply)
	} else {
		err = reply.WriteText(std.Out)
	}
	if err != nil {
		_, _ = fmt.Fprintf(std.Err, "heathercroft: write the reply: %v\n", err)
	}
	return reply.ExitCode()
}
