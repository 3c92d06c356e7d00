package routequery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/rpc"
)

// Exit codes of the command.
const (
	ExitAnswered    = 0
	ExitNotAnswered = 1
	ExitUsage       = 2
)

// askTimeout limits the question to a node.
const askTimeout = 5 * time.Second

// Run executes the command and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	terminated := false
	app := kingpin.New("heathercroft route", "Asks a node where it would send a request of a caller, without sending it. Exit codes: 0 answered, 1 not answered (no route, no configuration, node not reached), 2 bad usage.")
	app.Terminate(func(int) { terminated = true })
	app.UsageWriter(out).ErrorWriter(errOut)
	var q Question
	node := app.Flag("node", "Address at which the node serves other nodes, such as 10.0.0.1:7000.").Required().String()
	app.Flag("size", "Size of the request body in bytes.").Int64Var(&q.Bytes)
	app.Flag("organisation", "Name of the organisation that sends the request; never a key.").StringVar(&q.Organisation)
	output := app.Flag("output", "Output format: text or json.").Default("text").Enum("text", "json")
	app.Arg("method", "HTTP method.").Required().StringVar(&q.Method)
	app.Arg("host", "Host of the request.").Required().StringVar(&q.Host)
	app.Arg("path", "Path of the request, with its query if it has one.").Required().StringVar(&q.Path)
	_, err := app.Parse(args)
	if terminated {
		return ExitAnswered
	}
	var address netip.AddrPort
	if err == nil {
		address, err = check(q, *node)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft route: %v\n", err)
		return ExitUsage
	}
	answer, err := Ask(ctx, address, q)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft route: %v\n", err)
		return ExitNotAnswered
	}
	if *output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(answer)
	} else if answer.Problem == "" {
		err = answer.WriteText(out)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "heathercroft route: write the answer: %v\n", err)
	}
	if answer.Problem != "" {
		_, _ = fmt.Fprintf(errOut, "heathercroft route: %s\n", answer.problemText(q))
		return ExitNotAnswered
	}
	return ExitAnswered
}

func check(q Question, node string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(node)
	switch {
	case err != nil:
		return address, errors.Newf("--node: %q is no IP address with a port, such as 10.0.0.1:7000", node)
	case !strings.HasPrefix(q.Path, "/"):
		return address, errors.Newf("the path %q does not begin with a slash", q.Path)
	case q.Host == "" || strings.Contains(q.Host, "/"):
		return address, errors.Newf("%q is no host", q.Host)
	case q.Method == "":
		return address, errors.New("the method is empty")
	case q.Bytes < 0:
		return address, errors.Newf("--size: %d is negative", q.Bytes)
	}
	return address, nil
}

// Ask asks a node.
func Ask(ctx context.Context, node netip.AddrPort, q Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
	defer client.Close()
	var answer Answer
	err := client.Call(ctx, node, Method, q, &answer)
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, rpc.ErrRemote):
		return answer, errors.Wrapf(err, "node %s does not answer this question; is it of an older build?", node)
	default:
		return answer, errors.Wrapf(err, "node %s was not reached", node)
	}
}

func (a *Answer) problemText(q Question) string {
	switch a.Problem {
	case ProblemNoConfiguration:
		return fmt.Sprintf("node %s has no configuration; it answers every request with 503 and Retry-After", a.Node)
	case ProblemNoRoute:
		return fmt.Sprintf("no route of configuration %d at node %s matches host %s and path %s; the request gets 404", a.Config.Version, a.Node, q.Host, q.Path)
	case ProblemOrganisation:
		return fmt.Sprintf("configuration %d at node %s has no organisation %q; give its name, never a key", a.Config.Version, a.Node, q.Organisation)
	case ProblemRequest:
		return fmt.Sprintf("node %s cannot read the method, path or size of the request", a.Node)
	default:
		return string(a.Problem)
	}
}
