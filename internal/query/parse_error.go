package query

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// ParseError holds the position of an error in a command and what was expected
// there.
type ParseError struct {
	// Line and Column count from 1; Column counts characters.
	Line    int
	Column  int
	Message string
	// Expected lists what would be valid at the position, if known.
	Expected []string
	// Source is the line of the command that contains the position.
	Source string
}

// Error returns the message with the line of the command and a caret under the column.
func (e *ParseError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: %s", e.Line, e.Column, e.Message)
	if len(e.Expected) > 0 {
		fmt.Fprintf(&b, "; expected %s", orList(e.Expected))
	}
	source, column := excerpt(e.Source, e.Column)
	fmt.Fprintf(&b, "\n  %s\n  %s^", source, padding(source, column))
	return b.String()
}

// maxExcerptLength is the maximum length of the part of a line that an error shows,
// in characters.
const maxExcerptLength = 100

// excerpt returns the part of a line around a column, and the column within it.
func excerpt(source string, column int) (string, int) {
	line := []rune(source)
	if len(line) <= maxExcerptLength {
		return source, column
	}
	start := max(0, min(column-1-maxExcerptLength/2, len(line)-maxExcerptLength))
	return string(line[start : start+maxExcerptLength]), column - start
}

// padding returns the white space before the caret. Tabs are kept, so that the
// caret is below its column at any tab width.
func padding(source string, column int) string {
	pad := make([]rune, 0, column)
	for _, r := range source {
		if len(pad) == column-1 {
			break
		}
		if r != '\t' {
			r = ' '
		}
		pad = append(pad, r)
	}
	return string(pad)
}

func orList(items []string) string {
	if len(items) == 1 {
		return items[0]
	}
	last := len(items) - 1
	return strings.Join(items[:last], ", ") + " or " + items[last]
}

// errorAt returns an error at a position of the source.
func errorAt(source string, pos lexer.Position, format string, args ...any) *ParseError {
	lines := strings.Split(source, "\n")
	line := lines[min(max(pos.Line-1, 0), len(lines)-1)]
	return &ParseError{
		Line: pos.Line, Column: pos.Column, Message: fmt.Sprintf(format, args...),
		Source: strings.Map(printable, strings.TrimRight(line, "\r")),
	}
}

// printable replaces control characters other than tabs, which could manipulate the
// terminal that shows the error.
func printable(r rune) rune {
	if r != '\t' && unicode.IsControl(r) {
		return '?'
	}
	return r
}

// syntaxError converts an error of the parser to a ParseError.
func syntaxError(source string, err error) *ParseError {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		token := unexpected.Unexpected
		e := errorAt(source, token.Pos, "%s", describeToken(token))
		e.Expected = expectedAt(dropFinishedStatements(source[:min(token.Pos.Offset, len(source))]))
		return e
	}
	var other participle.Error
	if errors.As(err, &other) {
		return errorAt(source, other.Position(), "%s", other.Message())
	}
	return errorAt(source, lexer.Position{Line: 1, Column: 1}, "%s", err.Error())
}

// maxTokenLength is the maximum length of an unexpected token in an error, in
// characters; longer tokens are truncated.
const maxTokenLength = 40

func describeToken(t lexer.Token) string {
	switch {
	case t.EOF():
		return "the command ends too early"
	case t.Type == tokens.Symbols()["OpenText"]:
		return "the quoted text has no closing quote"
	}
	shown := []rune(t.Value)
	if len(shown) > maxTokenLength {
		shown = append(shown[:maxTokenLength], []rune("...")...)
	}
	return fmt.Sprintf("unexpected %q", string(shown))
}
