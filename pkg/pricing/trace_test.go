package pricing_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/state"
)

// trace is a recorded sequence of queue events with the expected effects.
type trace struct {
	Guards string `json:"guards"`
	Nodes  int    `json:"nodes"`
	Events []struct {
		AtMS   int64      `json:"at_ms"`
		Submit string     `json:"submit"`
		Route  string     `json:"route"`
		WaitMS int64      `json:"wait_ms"`
		Settle string     `json:"settle"`
		Code   state.Code `json:"code"`
		GaveUp string     `json:"gave_up"`
	} `json:"events"`
	// Effects lists the expected appends and results with their times.
	Effects []string `json:"effects"`
}

func describe(at int64, e pricing.Effect) string {
	switch e := e.(type) {
	case pricing.AppendRecord:
		return fmt.Sprintf("%d append %s: %s", at, e.Record.ID, strings.Join(e.Changes, " "))
	case pricing.ChangeResult:
		if e.Unknown {
			return fmt.Sprintf("%d answer %s: unknown", at, e.ChangeID)
		}
		return fmt.Sprintf("%d answer %s: %s", at, e.ChangeID, e.Outcome.Code)
	default:
		return ""
	}
}

// Guards against a change of the queue that alters the outcome of a recorded sequence;
// each trace names the failure it covers.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var tr trace
			require.NoError(t, json.Unmarshal(data, &tr))
			require.NotEmpty(t, tr.Guards)
			q := newQueue(tr.Nodes)
			var got []string
			for _, e := range tr.Events {
				now := time.Duration(e.AtMS) * time.Millisecond
				var event pricing.Event = pricing.Tick{Now: now}
				switch {
				case e.Submit != "":
					event = pricing.ChangeSubmitted{Now: now, Change: put(e.Submit, e.Route, time.Duration(e.WaitMS)*time.Millisecond)}
				case e.Settle != "":
					event = pricing.AppendResult{Now: now, RecordID: e.Settle, Outcome: state.Outcome{Code: e.Code}}
				case e.GaveUp != "":
					event = pricing.AppendAbandoned{Now: now, RecordID: e.GaveUp}
				}
				for _, effect := range q.Step(event) {
					if line := describe(e.AtMS, effect); line != "" {
						got = append(got, line)
					}
				}
			}
			require.Equal(t, tr.Effects, got)
		})
	}
}
