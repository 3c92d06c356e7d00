package query

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/cockroachdb/errors"
)

// keywords holds the keywords and punctuation of the grammar without the options.
var keywords = func() []string {
	var words []string
	for _, m := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(parser.String(), -1) {
		if !strings.HasPrefix(m[1], "--") && !slices.Contains(words, m[1]) {
			words = append(words, m[1])
		}
	}
	return words
}()

// anyWord and anyText are sample tokens of the classes that hold arbitrary values.
const (
	anyWord = "some-word"
	anyText = `"some text"`
)

// expectedAt returns what may follow a valid beginning of a command. It tries each
// keyword and token class with the parser, so it always matches the grammar.
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

// dropFinishedStatements replaces the complete statements of a batch by one short
// statement: what may follow doesn't depend on them, and a batch may be long.
func dropFinishedStatements(beginning string) string {
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
	// The line break terminates a comment at the end of the beginning.
	beginning += "\n"
	_, err := parser.ParseString("", beginning+candidate)
	var at participle.Error
	return err == nil || errors.As(err, &at) && at.Position().Offset >= len(beginning)+len(candidate)
}

// describeWord describes the kind of word that is expected after a beginning.
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

// wordsOf returns the tokens of a valid beginning in lower case.
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
