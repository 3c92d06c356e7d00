package query

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
)

var update = flag.Bool("update", false, "rewrite the outputs in docs/LANGUAGE.md")

const languagePage = "../../docs/LANGUAGE.md"

// example is a directive, or a command with its output, in docs/LANGUAGE.md.
var example = regexp.MustCompile("(?m)^<!-- (.*) -->$|(?s)```console\n\\$ heathercroft '([^\n]*)'\n(.*?)```")

// Guards against outputs in docs/LANGUAGE.md that differ from those of the code.
func TestLanguagePageShowsRealOutputs(t *testing.T) {
	page, err := os.ReadFile(languagePage)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		session := &session{t: t, node: newFakeNode()}
		rewritten := example.ReplaceAllStringFunc(string(page), func(found string) string {
			m := example.FindStringSubmatch(found)
			if m[1] != "" {
				session.applyDirective(m[1])
				return found
			}
			return fmt.Sprintf("```console\n$ heathercroft '%s'\n%s```", m[2], session.run(m[2]))
		})
		if *update {
			require.NoError(t, os.WriteFile(languagePage, []byte(rewritten), 0o600))
			return
		}
		require.Equal(t, string(page), rewritten)
	})
}

// session runs the examples of the page in order against one fake node.
type session struct {
	t          *testing.T
	node       *fakeNode
	changes    int
	unanswered Submission
}

func (s *session) run(text string) string {
	command, err := Parse(text)
	if err != nil {
		return fmt.Sprintf("heathercroft: %v\nexit code %d\n", err, ExitUsage)
	}
	id := ""
	if _, ok := command.(Change); ok {
		s.changes++
		id = fmt.Sprintf("op-%d", s.changes)
	}
	reply := Execute(s.t.Context(), s.node, Request{ID: id, Text: text, Command: command})
	var out bytes.Buffer
	require.NoError(s.t, reply.WriteText(&out))
	if code := reply.ExitCode(); code != ExitDone {
		fmt.Fprintf(&out, "exit code %d\n", code)
	}
	return out.String()
}

// applyDirective changes the fake node according to a directive of the page.
func (s *session) applyDirective(directive string) {
	n := s.node
	verb, zone, _ := strings.Cut(directive, " ")
	switch {
	case directive == "run":
	case directive == "platform out", directive == "platform back":
		n.inForce.PlatformReachable = zone == "back"
	case verb == "unseen", verb == "seen":
		for i := range n.inForce.Zones {
			if n.inForce.Zones[i].Zone == zone {
				n.inForce.Zones[i].Visible = verb == "seen"
			}
		}
	case verb == "id":
		require.Equal(s.t, zone, fmt.Sprintf("op-%d", s.changes))
	case directive == "hold back":
		n.onSubmit = func(sub Submission) ChangeStatus {
			due := testNow.Add(sub.Wait)
			n.waiting = append(n.waiting, WaitingChange{ID: sub.ID, Text: sub.Text, Due: due})
			return ChangeStatus{Stage: StageWaiting, Due: due}
		}
	case directive == "no response":
		n.onSubmit = func(sub Submission) ChangeStatus {
			s.unanswered = sub
			return ChangeStatus{Stage: StageUnknown, Reason: "the platform sent no response to the append"}
		}
	case directive == "response":
		n.statuses[s.unanswered.ID] = n.append(s.unanswered)
	default:
		require.Fail(s.t, "unknown directive", directive)
	}
}

// Guards against a text output that omits why a move or a change is not done.
func TestTextNamesWhatIsWrong(t *testing.T) {
	expected := testNow.Add(time.Hour)
	reply := Reply{
		Status: StatusInProgress, Revision: 9, NACKs: []NACK{{Node: "casa-a-1", Revision: 8, Reason: "schema 2\x1b[2J"}},
		Moves: []MoveRow{{
			ID: 4, Service: "x", From: "v1", To: "v2", Status: MoveInProgress, Weight: record.BasisPoints(125), Deadline: testNow,
			AtRisk: true, Expected: &expected, CutZones: []string{"casa-b"}, Reason: "too few calls",
		}},
	}
	var out bytes.Buffer
	require.NoError(t, reply.WriteText(&out))
	require.Contains(t, out.String(), "NACK:         casa-a-1 at revision 8: schema 2?[2J\n")
	require.Contains(t, out.String(), "1.25 %  2026-01-02T15:00:00Z  at risk; expected 2026-01-02T16:00:00Z; too few calls; cut in casa-b\n")
}
