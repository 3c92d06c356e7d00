package query

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// ParseError says where a command is wrong and what was expected there.
type ParseError struct {
	// Line and Column count from 1; Column counts characters.
	Line    int
	Column  int
	Message string
	// Expected lists what could stand at the position, if that is known.
	Expected []string
	// Source is the line of the command that holds the position.
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

// excerptLength bounds the part of a long line that an error shows, in characters.
const excerptLength = 100

// excerpt returns the part of a line around a column, and the column in it.
func excerpt(source string, column int) (string, int) {
	line := []rune(source)
	if len(line) <= excerptLength {
		return source, column
	}
	start := max(0, min(column-1-excerptLength/2, len(line)-excerptLength))
	return string(line[start : start+excerptLength]), column - start
}

// padding fills the columns before the caret. Tabs are kept, so that the caret
// stands under its column at any tab width.
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

// errorAt reports a token that has the right place but a wrong value.
func errorAt(source string, pos lexer.Position, format string, args ...any) *ParseError {
	lines := strings.Split(source, "\n")
	line := lines[min(max(pos.Line-1, 0), len(lines)-1)]
	return &ParseError{
		Line: pos.Line, Column: pos.Column, Message: fmt.Sprintf(format, args...),
		Source: strings.Map(printable, strings.TrimRight(line, "\r")),
	}
}

// printable replaces control characters, which could change the terminal that
// shows the error. Tabs stay.
func printable(r rune) rune {
	if r != '\t' && unicode.IsControl(r) {
		return '?'
	}
	return r
}

// syntaxError explains an error of the parser.
func syntaxError(source string, err error) *ParseError {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		token := unexpected.Unexpected
		e := errorAt(source, token.Pos, "%s", describeToken(token))
		e.Expected = expectedAt(shorten(source[:min(token.Pos.Offset, len(source))]))
		return e
	}
	var other participle.Error
	if errors.As(err, &other) {
		return errorAt(source, other.Position(), "%s", other.Message())
	}
	return errorAt(source, lexer.Position{Line: 1, Column: 1}, "%s", err.Error())
}

// longestShown bounds how much of a wrong token an error repeats.
const longestShown = 40

func describeToken(t lexer.Token) string {
	switch {
	case t.EOF():
		return "the command ends too early"
	case t.Type == tokens.Symbols()["OpenText"]:
		return "the quoted text has no closing quote"
	}
	shown := []rune(t.Value)
	if len(shown) > longestShown {
		shown = append(shown[:longestShown], []rune("...")...)
	}
	return fmt.Sprintf("unexpected %q", string(shown))
}

// keywords are all literals of the grammar.
var keywords = func() []string {
	var words []string
	for _, m := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(parser.String(), -1) {
		if !strings.HasPrefix(m[1], "--") && !slices.Contains(words, m[1]) {
			words = append(words, m[1])
		}
	}
	return words
}()

// anyWord and anyText stand for the token classes that hold free values.
const (
	anyWord = "some-word"
	anyText = `"some text"`
)

// expectedAt returns what may follow a correct beginning of a command. It asks
// the parser itself about each keyword and class, so it always fits the grammar.
func expectedAt(beginning string) []string {
	if follows(beginning, anyWord) {
		return []string{describeWord(beginning)}
	}
	var expected []string
	if follows(beginning, anyText) {
		expected = append(expected, describeText(beginning))
	}
	for _, k := range keywords {
		if follows(beginning, k) {
			expected = append(expected, fmt.Sprintf("%q", k))
		}
	}
	if _, err := parser.ParseString("", beginning); err == nil {
		expected = append(expected, "the end of the command")
	}
	return expected
}

// shorten replaces the finished statements of a batch by one short statement:
// what may follow doesn't depend on them, and a batch may be long.
func shorten(beginning string) string {
	found, err := parser.Lex("", strings.NewReader(beginning))
	if err != nil {
		return beginning
	}
	for _, t := range slices.Backward(found) {
		if t.Value == ";" {
			return "batch { delete route r " + beginning[t.Pos.Offset:]
		}
	}
	return beginning
}

// follows reports whether the parser accepts the candidate after the beginning.
func follows(beginning, candidate string) bool {
	// A line break ends a comment at the end of the beginning.
	beginning += "\n"
	_, err := parser.ParseString("", beginning+candidate)
	var at participle.Error
	return err == nil || errors.As(err, &at) && at.Position().Offset >= len(beginning)+len(candidate)
}

// describeWord says which kind of word is expected after a beginning.
func describeWord(beginning string) string {
	words := wordsOf(beginning)
	last := func(n int) string {
		if len(words) < n {
			return ""
		}
		return words[len(words)-n]
	}
	switch {
	case strings.TrimLeft(last(1), "-") == "wait", strings.TrimLeft(last(1), "-") == "within":
		return `a time span such as "10s"`
	case last(1) == "by":
		return `a time span such as "30m" or a time such as "2026-01-02T15:04:05Z"`
	case last(1) == "revision":
		return "a revision number"
	case last(1) == "move" && last(2) != "start":
		return "the number of a move"
	case last(1) == "change":
		return "the id of a change"
	case last(1) == "zone":
		return "the name of a zone"
	case last(1) == "route":
		return "the name of a route"
	case last(1) == "version", last(1) == "from", last(1) == "to" && !slices.Contains(words, "prefix"):
		return "the name of a version"
	default:
		return "the name of a service"
	}
}

func describeText(beginning string) string {
	words := wordsOf(beginning)
	if len(words) > 0 && words[len(words)-1] == "because" {
		return "a reason in double quotes"
	}
	return `a path in double quotes such as "/p"`
}

// wordsOf returns the tokens of a correct beginning in lower case.
func wordsOf(beginning string) []string {
	found, err := parser.Lex("", strings.NewReader(beginning))
	if err != nil {
		return nil
	}
	words := make([]string, 0, len(found))
	for _, t := range found {
		if !t.EOF() {
			words = append(words, strings.ToLower(t.Value))
		}
	}
	return words
}
