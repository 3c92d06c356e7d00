package bench

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	fileMode     = 0o644
	figureWidth  = 7 * vg.Inch
	figureHeight = 3.8 * vg.Inch
)

var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x21, A: 0xff},
	color.RGBA{R: 0x4f, G: 0x8a, B: 0x3c, A: 0xff},
	color.RGBA{R: 0x9c, G: 0x3d, B: 0x54, A: 0xff},
	color.RGBA{R: 0x8a, G: 0x8a, B: 0x8a, A: 0xff},
}

// Table is the result of one part of the benchmarks.
type Table struct {
	// Name is the file name without extension.
	Name    string
	Columns []string
	Rows    [][]string
	// Subject says what was run, for example processes or reducers in one process.
	Subject string
	Seed    uint64
	Fits    map[string]Fit
	// Notes are conditions of the run that the figures depend on.
	Notes []string
}

// Add appends a row; floating-point values are rounded to three digits.
func (t *Table) Add(values ...any) {
	var row []string
	for _, v := range values {
		if f, ok := v.(float64); ok {
			row = append(row, formatFloat(f))
			continue
		}
		row = append(row, fmt.Sprint(v))
	}
	t.Rows = append(t.Rows, row)
}

func formatFloat(f float64) string {
	text := fmt.Sprintf("%.3f", f)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// meta is written beside each table.
type meta struct {
	Command   string         `json:"command"`
	Subject   string         `json:"subject"`
	Rows      int            `json:"rows"`
	Seed      uint64         `json:"seed"`
	Started   string         `json:"started"`
	Cores     int            `json:"cores"`
	LoadStart string         `json:"load_average_at_start"`
	LoadEnd   string         `json:"load_average_at_end"`
	Fits      map[string]Fit `json:"least_squares,omitempty"`
	Notes     []string       `json:"notes,omitempty"`
}

// Output writes tables and figures into a directory.
type Output struct {
	Dir string
	// Command is the raw command of the run.
	Command string

	started time.Time
	load    string
}

// NewOutput returns an output that notes the present load of the machine.
func NewOutput(dir, command string) *Output {
	return &Output{Dir: dir, Command: command, started: time.Now(), load: loadAverage()}
}

// Table writes the rows as CSV and the conditions of the run as JSON.
func (o *Output) Table(t *Table) error {
	var text strings.Builder
	w := csv.NewWriter(&text)
	if err := w.WriteAll(append([][]string{t.Columns}, t.Rows...)); err != nil {
		return errors.Wrap(err, "encode CSV")
	}
	if err := o.write(t.Name+".csv", text.String()); err != nil {
		return err
	}
	if err := o.Conditions(t); err != nil {
		return err
	}
	fmt.Printf("%s (%s)\n%s", t.Name, t.Subject, text.String())
	for name, fit := range t.Fits {
		fmt.Printf("fit %s: slope %.4g, intercept %.4g, R2 %.3f\n", name, fit.Slope, fit.Intercept, fit.R2)
	}
	return nil
}

func (o *Output) write(name, content string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(o.Dir, name), []byte(content), fileMode), "write result")
}

// Conditions writes the conditions of a run as JSON without its rows.
func (o *Output) Conditions(t *Table) error {
	data, err := json.MarshalIndent(meta{
		Command: o.Command, Subject: t.Subject, Rows: len(t.Rows), Seed: t.Seed,
		Started: o.started.UTC().Format(time.RFC3339), Cores: runtime.NumCPU(),
		LoadStart: o.load, LoadEnd: loadAverage(), Fits: t.Fits, Notes: t.Notes,
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode conditions")
	}
	return o.write(t.Name+".json", string(data)+"\n")
}

// Series is one line of a figure.
type Series struct {
	Name string
	X, Y []float64
}

// Axes are the labels and scales of a figure.
type Axes struct {
	Title, X, Y string
	// LogX and LogY use logarithmic scales; values of 0 are left out then.
	LogX, LogY bool
}

// Plot draws lines with points as a PNG.
func (o *Output) Plot(name string, axes Axes, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = axes.Title, axes.X, axes.Y
	p.Legend.Top, p.Legend.Left = true, true
	if axes.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if axes.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	for i, s := range series {
		points := s.points(axes)
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrap(err, "figure")
		}
		line.Color, dots.Color = palette[i%len(palette)], palette[i%len(palette)]
		p.Add(line, dots)
		p.Legend.Add(s.Name, line, dots)
	}
	if !axes.LogY {
		p.Y.Max *= 1.25
	}
	return errors.Wrap(p.Save(figureWidth, figureHeight, filepath.Join(o.Dir, name+".png")), "save figure")
}

func (s Series) points(axes Axes) plotter.XYs {
	var points plotter.XYs
	for i := range s.X {
		if (axes.LogX && s.X[i] <= 0) || (axes.LogY && s.Y[i] <= 0) {
			continue
		}
		points = append(points, plotter.XY{X: s.X[i], Y: s.Y[i]})
	}
	return points
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(len(fields), 3)], " ")
}
