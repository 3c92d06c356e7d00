package query

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
)

func ptr[T any](v T) *T { return &v }

// Guards against a command that is parsed as a different one.
func TestParseAcceptsEachCommand(t *testing.T) {
	one := func(b record.Body) Change { return Change{Statements: []Statement{{Body: b}}} }
	at := time.Date(2026, 1, 2, 15, 4, 5, 0, time.UTC)
	start := record.StartRollout{Service: "x", From: "v1", To: "v2"}
	for text, want := range map[string]Command{
		`show in force`:                           ShowInForce{},
		`SHOW In Force SERVICE x Zone casa-a`:     ShowInForce{Service: "x", Zone: "casa-a"},
		`show in force service zone zone to`:      ShowInForce{Service: "zone", Zone: "to"},
		`show services`:                           ShowServices{},
		`show routes # all of them`:               ShowRoutes{},
		`show moves`:                              ShowMoves{},
		`show move 123`:                           ShowMove{ID: 123},
		`show move 123 within 2h`:                 ShowMove{ID: 123, Within: ptr(2 * time.Hour)},
		`show nodes`:                              ShowNodes{},
		`show zones`:                              ShowZones{},
		`show waiting`:                            ShowWaiting{},
		`show change op-1`:                        ShowChange{ID: "op-1"},
		`show price of put service x version v`:   ShowPrice{Change: one(record.PutService{Name: "x", Version: "v"})},
		`put service x version v`:                 one(record.PutService{Name: "x", Version: "v"}),
		`put service "--wait" version "1.2_a"`:    one(record.PutService{Name: "--wait", Version: "1.2_a"}),
		`put version v2 of x`:                     one(record.PutVersion{Service: "x", Version: "v2"}),
		`put route r prefix "/p\"q" to x`:         one(record.PutRoute{Name: "r", Prefix: `/p"q`, Service: "x"}),
		`delete service x`:                        one(record.DeleteService{Name: "x"}),
		`delete version v of x`:                   one(record.DeleteVersion{Service: "x", Version: "v"}),
		`delete route r`:                          one(record.DeleteRoute{Name: "r"}),
		`hold move 7`:                             one(record.PauseRollout{Rollout: 7}),
		`resume move 7`:                           one(record.ResumeRollout{Rollout: 7}),
		`take back move 7`:                        one(record.RollBackRollout{Rollout: 7, Cause: record.CauseOperator}),
		`take back move 7 because "slow; see #4"`: one(record.RollBackRollout{Rollout: 7, Cause: record.CauseOperator, Reason: "slow; see #4"}),
		`start move x from v1 to v2 by 30m`:       Change{Statements: []Statement{{Body: start, Deadline: Deadline{In: 30 * time.Minute}}}},
		`start move x from v1 to v2 by 2026-01-02T15:04:05Z`: Change{
			Statements: []Statement{{Body: start, Deadline: Deadline{At: at}}},
		},
		`delete route r at revision 9 --wait 10s within 20s`: Change{
			Statements: []Statement{{Body: record.DeleteRoute{Name: "r"}, At: ptr(record.Revision(9))}},
			Wait:       10 * time.Second, Within: ptr(20 * time.Second),
		},
		"batch {\n put service x version v;\n put route r prefix \"/\" to x at revision 4; # last\n} WAIT 1m": Change{
			Statements: []Statement{
				{Body: record.PutService{Name: "x", Version: "v"}},
				{Body: record.PutRoute{Name: "r", Prefix: "/", Service: "x"}, At: ptr(record.Revision(4))},
			},
			Wait: time.Minute,
		},
	} {
		got, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, got, text)
	}
}

// Guards against errors with a wrong position or without what was expected there.
func TestParseErrorsPointAtTheColumn(t *testing.T) {
	for _, c := range []struct {
		text         string
		line, column int
		contains     string
	}{
		{"", 1, 1, `ends too early; expected "show", "batch", "put"`},
		{"shows services", 1, 1, `unexpected "shows"; expected "show"`},
		{"show in", 1, 8, `expected "force"`},
		{"show in force zone a service b", 1, 22, `expected the end of the command`},
		{"show move x", 1, 11, `"x" is not the number of a move`},
		{"show price of show moves", 1, 15, `expected "batch", "put"`},
		{"show moves wait 1s", 1, 12, `expected the end of the command`},
		{"put service x vorsion v", 1, 15, `unexpected "vorsion"; expected "version"`},
		{"put service a/b version v", 1, 13, `"a/b" is no valid name`},
		{"put service " + strings.Repeat("a", 129) + " version v", 1, 13, `is no valid name`},
		{"put version v2", 1, 15, `expected "of"`},
		{"put version v2 of", 1, 18, `expected the name of a service`},
		{"put service x version # v", 1, 26, `expected the name of a version`},
		{"put route r prefix /p to x", 1, 20, `expected a path in double quotes`},
		{`put route r prefix "p" to x`, 1, 20, `does not start with /`},
		{`put route r prefix "/p to x`, 1, 20, `no closing quote`},
		{`put route r prefix "/\p" to x`, 1, 20, `wrong escape`},
		{"put service x version v at revision -1", 1, 37, `"-1" is not a revision number`},
		{"put service x version v at revision 99999999999999999999", 1, 37, `not a revision number`},
		{"hold move 3 at revision 2", 1, 13, `unexpected "at"; expected "within", "wait"`},
		{"start move x from v1 to v1 by 30m", 1, 25, `two different versions`},
		{"start move x from v1 to v2 by noon", 1, 31, `neither a time span`},
		{"start move x from v1 to v2 by 0s", 1, 31, `not after the start`},
		{"take back move 3 because it is slow", 1, 26, `expected a reason in double quotes`},
		{"put service x version v wait 10", 1, 30, `"10" is no time span`},
		{"put service x version v wait -1s", 1, 30, `not between 0s and 1h0m0s`},
		{"put service x version v within 25h", 1, 32, `not between 0s and 24h0m0s`},
		{"put service x version v wait 1s --wait 2s", 1, 33, `given twice`},
		{"batch { }", 1, 9, `expected "put"`},
		{"batch { put service x version v; put }", 1, 38, `expected "service", "version" or "route"`},
		{"batch { put service x version v wait 1s }", 1, 33, `expected ";", "}" or "at"`},
		{"batch {\n\tdelete route é\n}", 2, 15, `"é" is no valid name`},
		{"put service \xff version v", 1, 1, `no valid UTF-8`},
		{strings.Repeat("#", MaxText+1), 1, 1, `the limit is 65536`},
	} {
		_, err := Parse(c.text)
		var at *ParseError
		require.ErrorAs(t, err, &at, c.text)
		require.Contains(t, err.Error(), c.contains, c.text)
		require.Equal(t, [2]int{c.line, c.column}, [2]int{at.Line, at.Column}, err.Error())
	}
}

// Guards against a caret that is misaligned by a tab or a multi-byte character.
func TestParseErrorDrawsACaret(t *testing.T) {
	_, err := Parse("# é\n\tput service é\x07 version v")
	require.EqualError(t, err, "2:14: \"é\\a\" is no valid name; use up to 128 letters, digits, \"-\", \"_\" and \".\"\n"+
		"  \tput service é? version v\n"+
		"  \t            ^")
}

// Guards against an error that repeats a long line in full.
func TestParseErrorShowsAnExcerptOfALongLine(t *testing.T) {
	_, err := Parse("batch { " + strings.Repeat("delete route r; ", 4000) + "foo }")
	require.EqualError(t, err, `1:64009: unexpected "foo"; expected ";", "}", "put", "delete", "start", "hold", "resume" or "take"`+"\n"+
		"  "+strings.Repeat("elete route r; d", 5)+"elete route r; foo }\n"+
		"  "+strings.Repeat(" ", 95)+"^")
}

// Guards against panics and positions outside of the text for any input.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`show in force service x zone z`, `put route r prefix "/p" to x at revision 3 wait 1s within 2s`,
		`batch { put service x version v; delete version v of y }`, `start move x from v1 to v2 by 30m`,
		`take back move 3 because "text"`, "put \"\x00", "show price of {;}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		command, err := Parse(text)
		if err == nil {
			require.NotNil(t, command)
			return
		}
		var at *ParseError
		require.ErrorAs(t, err, &at)
		lines := strings.Split(strings.ToValidUTF8(text, "?"), "\n")
		require.True(t, at.Line >= 1 && at.Line <= len(lines), err.Error())
		require.True(t, at.Column >= 1 && at.Column <= len([]rune(lines[at.Line-1]))+1, err.Error())
	})
}
