package testbed

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/load"
	"heathercroft.example/heathercroft/internal/query"
)

// Command runs the operators' program against a member and returns its reply
// and exit code.
func (m *Member) Command(args ...string) (query.Reply, int, error) {
	all := append([]string{"--node", m.AdminURL(), "--output", "json"}, args...)
	var out, errOut bytes.Buffer
	cmd := exec.Command(filepath.Join(m.bed.Bin, "heathercroft"), all...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return query.Reply{}, 0, errors.Wrap(err, "run heathercroft")
	}
	var reply query.Reply
	if err := json.Unmarshal(out.Bytes(), &reply); err != nil {
		return reply, cmd.ProcessState.ExitCode(), errors.Newf("no reply: %s%s", out.String(), errOut.String())
	}
	return reply, cmd.ProcessState.ExitCode(), nil
}

// Load is a running load generator.
type Load struct {
	process *Process
	path    string
}

// StartLoad starts the load generator with TOML settings.
func (b *Bed) StartLoad(name, settings string) (*Load, error) {
	path, err := b.write(name, settings)
	if err != nil {
		return nil, err
	}
	report := filepath.Join(b.Dir, name+".json")
	p, err := Start(b.Dir, filepath.Join(b.Bin, "heathercroft-load"), name, "--settings", path, "--json", report)
	if err != nil {
		return nil, err
	}
	b.tools = append(b.tools, p)
	return &Load{process: p, path: report}, nil
}

// Wait waits for the end of the run and returns its report.
func (l *Load) Wait() (load.Report, error) {
	<-l.process.Done()
	var r load.Report
	data, err := os.ReadFile(l.path)
	if err != nil {
		return r, errors.Wrapf(err, "load generator left no report, see %s", l.process.LogPath)
	}
	return r, errors.Wrap(json.Unmarshal(data, &r), "decode load report")
}
