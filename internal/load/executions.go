package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/target"
)

const (
	// askTimeout bounds one question for executions.
	askTimeout = 30 * time.Second
	// maxExecutions bounds the answer in bytes: a million names of a hundred bytes.
	maxExecutions = 128 << 20
)

// Duplicates is what the targets say about the executions of a run.
type Duplicates struct {
	// Duplicated counts keys, and uploads without a key, that were executed more than once.
	Duplicated int64 `json:"duplicated"`
	// RepeatedReads counts reads that were executed more than once, which is allowed.
	RepeatedReads int64 `json:"repeated_reads"`
	// Executed counts the keys that were executed at least once.
	Executed int64 `json:"executed_keys"`
	// Checked counts the targets that were asked and whose counts cover the whole run.
	Checked int `json:"targets_checked"`
	// Unchecked lists the targets that did not answer, or that restarted during the run.
	Unchecked []string `json:"targets_unchecked"`
	// Names lists some of the duplicated keys and requests.
	Names []string `json:"names"`
}

// maxNames bounds the list of duplicated names in a report.
const maxNames = 20

// auditor compares what the targets executed.
type auditor struct {
	client   *http.Client
	targets  []string
	sessions map[string]string
}

func newAuditor(s *Settings) *auditor {
	targets := s.Targets
	if len(targets) == 0 {
		targets = s.Direct
	}
	return &auditor{client: &http.Client{Timeout: askTimeout}, targets: targets, sessions: map[string]string{}}
}

// begin notes the session of each target, so that a restart during the run shows.
func (a *auditor) begin(ctx context.Context) {
	for _, base := range a.targets {
		if found, err := a.ask(ctx, base, "-"); err == nil {
			a.sessions[base] = found.Session
		}
	}
}

// end sums up the executions of a run over all targets.
func (a *auditor) end(ctx context.Context, run string, uploads func(id string) bool) Duplicates {
	keys, requests := map[string]int{}, map[string]int{}
	d := Duplicates{Unchecked: []string{}, Names: []string{}}
	for _, base := range a.targets {
		found, err := a.ask(ctx, base, run+"-")
		if err != nil || found.Session != a.sessions[base] || found.Uncounted > 0 {
			d.Unchecked = append(d.Unchecked, base)
		} else {
			d.Checked++
		}
		if err == nil {
			addCounts(keys, found.Keys)
			addCounts(requests, found.Requests)
		}
	}
	d.sum(keys, requests, uploads)
	return d
}

func (d *Duplicates) sum(keys, requests map[string]int, uploads func(id string) bool) {
	d.Executed = int64(len(keys))
	for name, n := range keys {
		if n > 1 {
			d.Names = append(d.Names, name)
		}
	}
	for name, n := range requests {
		switch {
		case n < 2:
		case uploads(name):
			d.Names = append(d.Names, name)
		default:
			d.RepeatedReads++
		}
	}
	d.Duplicated = int64(len(d.Names))
	slices.Sort(d.Names)
	d.Names = d.Names[:min(len(d.Names), maxNames)]
}

func addCounts(sum, part map[string]int) {
	for name, n := range part {
		sum[name] += n
	}
}

func (a *auditor) ask(ctx context.Context, base, prefix string) (target.Executions, error) {
	question := strings.TrimRight(base, "/") + "/control/executions?" + url.Values{"prefix": {prefix}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, question, nil)
	if err != nil {
		return target.Executions{}, errors.Wrap(err, "build request")
	}
	res, err := a.client.Do(req)
	if err != nil {
		return target.Executions{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return target.Executions{}, errors.Newf("status %d", res.StatusCode)
	}
	var found target.Executions
	if err := json.NewDecoder(io.LimitReader(res.Body, maxExecutions)).Decode(&found); err != nil {
		return target.Executions{}, errors.Wrap(err, "decode executions")
	}
	if found.Session == "" {
		return target.Executions{}, errors.New("answer holds no session, so it is no list of executions")
	}
	return found, nil
}
