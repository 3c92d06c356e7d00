package evaluation

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Report runs the evaluation, prints the summaries to w as CSV, and writes the
// CSV file and the figures into dir, which must exist. It writes one line per
// replay to replays, unless that is nil.
func Report(ctx context.Context, c Config, dir string, w, replays io.Writer) error {
	rows, err := Run(ctx, c)
	if err != nil {
		return err
	}
	if replays != nil {
		if err := WriteRows(replays, rows); err != nil {
			return err
		}
	}
	list := Summarize(rows)
	file, err := os.Create(filepath.Join(dir, "comparison.csv"))
	if err != nil {
		return errors.Wrap(err, "create summary file")
	}
	defer file.Close()
	if err := WriteSummaries(io.MultiWriter(file, w), list); err != nil {
		return err
	}
	for _, p := range c.Profiles {
		if _, err := PlotOutcomes(dir, p.Name, list); err != nil {
			return err
		}
		if _, err := PlotHarmed(dir, p.Name, list); err != nil {
			return err
		}
	}
	return errors.Wrap(file.Sync(), "write summary file")
}

// ReportWaits runs the pricing bench, prints its rows to w as CSV, and writes the
// CSV file and the figure into dir, which must exist.
func ReportWaits(seed uint64, dir string, w io.Writer) error {
	rows := RunWaits(seed)
	file, err := os.Create(filepath.Join(dir, "waits.csv"))
	if err != nil {
		return errors.Wrap(err, "create file of waits")
	}
	defer file.Close()
	if err := WriteWaits(io.MultiWriter(file, w), rows); err != nil {
		return err
	}
	if err := PlotWaits(dir, rows); err != nil {
		return err
	}
	return errors.Wrap(file.Sync(), "write file of waits")
}
