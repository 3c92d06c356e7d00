package query

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Limits of the language.
const (
	// MaxText is the maximum size of a command in bytes.
	MaxText = 64 << 10
	// MaxWait is the maximum time that acceptance may be deferred. The node keeps
	// waiting changes in memory only, and a longer wait makes their loss more likely.
	MaxWait = time.Hour
	// MaxWithin is the maximum time limit for a reply.
	MaxWithin = 24 * time.Hour
	// maxReasonBytes is the maximum length of the reason for a rollback.
	maxReasonBytes = 1024
)

// Parse reads one command. Its error is a *ParseError.
func Parse(source string) (Command, error) {
	start := lexer.Position{Line: 1, Column: 1}
	if len(source) > MaxText {
		return nil, &ParseError{Line: 1, Column: 1, Message: fmt.Sprintf("the command has %d bytes, the limit is %d", len(source), MaxText)}
	}
	if !utf8.ValidString(source) {
		return nil, errorAt(strings.ToValidUTF8(source, "?"), start, "the command is no valid UTF-8")
	}
	node, err := parser.ParseString("", source)
	if err != nil {
		return nil, syntaxError(source, err)
	}
	c := converter{source: source}
	command := c.command(node)
	if c.err != nil {
		return nil, c.err
	}
	return command, nil
}

// converter converts the syntax tree to a command and keeps the first error.
type converter struct {
	source string
	err    *ParseError
}

func (c *converter) fail(pos lexer.Position, format string, args ...any) {
	if c.err == nil {
		c.err = errorAt(c.source, pos, format, args...)
	}
}

func (c *converter) command(n *commandNode) Command {
	if n.Show != nil {
		return c.show(n.Show)
	}
	return c.change(n.Change)
}

func (c *converter) show(n *showNode) Command {
	switch {
	case n.InForce != nil:
		return ShowInForce{Service: c.optionalName(n.InForce.Service), Zone: c.optionalName(n.InForce.Zone)}
	case n.Services:
		return ShowServices{}
	case n.Routes:
		return ShowRoutes{}
	case n.Moves:
		return ShowMoves{}
	case n.Move != nil:
		id := c.number(n.Move.ID.Pos, n.Move.ID.Value, "the number of a move")
		return ShowMove{ID: id, Within: c.within(n.Move.Within)}
	case n.Nodes:
		return ShowNodes{}
	case n.Zones:
		return ShowZones{}
	case n.Waiting:
		return ShowWaiting{}
	case n.Change != nil:
		return ShowChange{ID: c.name(n.Change.ID), Within: c.within(n.Change.Within)}
	default:
		return ShowPrice{Change: c.change(n.Price)}
	}
}

func (c *converter) change(n *changeNode) Change {
	var out Change
	nodes := []*statementNode{n.Single}
	if n.Batch != nil {
		nodes = n.Batch.Statements
	}
	for _, s := range nodes {
		out.Statements = append(out.Statements, c.statement(s))
	}
	waitGiven := false
	for _, o := range n.Options {
		switch {
		case o.Wait != nil && waitGiven, o.Within != nil && out.Within != nil:
			c.fail(o.Pos, "the option is given twice")
		case o.Wait != nil:
			out.Wait = c.span(o.Wait, MaxWait)
			waitGiven = true
		default:
			out.Within = c.within(o.Within)
		}
	}
	return out
}

func (c *converter) statement(n *statementNode) Statement {
	switch {
	case n.Put != nil:
		return Statement{Body: c.put(n.Put), At: c.revision(n.Put.At)}
	case n.Delete != nil:
		return Statement{Body: c.delete(n.Delete), At: c.revision(n.Delete.At)}
	case n.Start != nil:
		body := record.StartRollout{Service: c.name(n.Start.Service), From: c.name(n.Start.From), To: c.name(n.Start.To)}
		if body.From == body.To {
			c.fail(n.Start.To.Pos, "a move needs two different versions")
		}
		return Statement{Body: body, Deadline: c.deadline(n.Start.By)}
	case n.Hold != nil:
		return Statement{Body: record.PauseRollout{Rollout: c.move(n.Hold)}}
	case n.Resume != nil:
		return Statement{Body: record.ResumeRollout{Rollout: c.move(n.Resume)}}
	default:
		return Statement{Body: record.RollBackRollout{
			Rollout: c.move(n.TakeBack.ID), Cause: record.CauseOperator, Reason: c.reason(n.TakeBack.Because),
		}}
	}
}

func (c *converter) put(n *putNode) record.Body {
	switch {
	case n.Service != nil:
		return record.PutService{Name: c.name(n.Service.Service), Version: c.name(n.Service.Version)}
	case n.Version != nil:
		return record.PutVersion{Service: c.name(n.Version.Service), Version: c.name(n.Version.Version)}
	default:
		return record.PutRoute{Name: c.name(n.Route.Route), Prefix: c.prefix(n.Route.Prefix), Service: c.name(n.Route.Service)}
	}
}

func (c *converter) delete(n *deleteNode) record.Body {
	switch {
	case n.Service != nil:
		return record.DeleteService{Name: c.name(n.Service)}
	case n.Version != nil:
		return record.DeleteVersion{Service: c.name(n.Version.Service), Version: c.name(n.Version.Version)}
	default:
		return record.DeleteRoute{Name: c.name(n.Route)}
	}
}

func (c *converter) optionalName(n *name) string {
	if n == nil {
		return ""
	}
	return c.name(n)
}

func (c *converter) name(n *name) string {
	value := n.Value
	if strings.HasPrefix(value, `"`) {
		value = c.unquote(n.Pos, value)
	}
	if !state.ValidName(value) {
		c.fail(n.Pos, "%q is no valid name; use up to 128 letters, digits, \"-\", \"_\" and \".\"", value)
	}
	return value
}

func (c *converter) unquote(pos lexer.Position, quoted string) string {
	value, err := strconv.Unquote(quoted)
	if err != nil {
		c.fail(pos, "the quoted text has a wrong escape; write \\\" for a quote and \\\\ for a backslash")
	}
	return value
}

func (c *converter) prefix(n *text) string {
	value := c.unquote(n.Pos, n.Value)
	if !strings.HasPrefix(value, "/") {
		c.fail(n.Pos, "the prefix %q does not start with /", value)
	}
	return value
}

func (c *converter) reason(n *text) string {
	if n == nil {
		return ""
	}
	value := c.unquote(n.Pos, n.Value)
	if len(value) > maxReasonBytes {
		c.fail(n.Pos, "the reason has %d bytes, the limit is %d", len(value), maxReasonBytes)
	}
	return value
}

func (c *converter) number(pos lexer.Position, value, what string) record.Revision {
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		c.fail(pos, "%q is not %s", value, what)
	}
	return record.Revision(n)
}

func (c *converter) move(w *word) record.RolloutID {
	return c.number(w.Pos, w.Value, "the number of a move")
}

func (c *converter) revision(w *word) *record.Revision {
	if w == nil {
		return nil
	}
	r := c.number(w.Pos, w.Value, "a revision number")
	return &r
}

func (c *converter) span(w *word, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(w.Value)
	switch {
	case err != nil:
		c.fail(w.Pos, "%q is no time span; write a number with a unit, such as \"10s\"", w.Value)
	case d < 0 || d > limit:
		c.fail(w.Pos, "%q is not between 0s and %s", w.Value, limit)
	}
	return d
}

func (c *converter) within(w *word) *time.Duration {
	if w == nil {
		return nil
	}
	d := c.span(w, MaxWithin)
	return &d
}

func (c *converter) deadline(w *word) Deadline {
	if at, err := time.Parse(time.RFC3339, w.Value); err == nil {
		return Deadline{At: at}
	}
	d, err := time.ParseDuration(w.Value)
	switch {
	case err != nil:
		c.fail(w.Pos, "%q is neither a time span such as \"30m\" nor a time such as \"2026-01-02T15:04:05Z\"", w.Value)
	case d <= 0:
		c.fail(w.Pos, "the deadline %q is not after the start", w.Value)
	}
	return Deadline{In: d}
}
