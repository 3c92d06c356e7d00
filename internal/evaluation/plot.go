package evaluation

import (
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a figure.
const (
	figureWidth  = 7 * vg.Inch
	figureHeight = 3.5 * vg.Inch
	barWidth     = 12 * vg.Millimeter
)

var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x21, A: 0xff},
	color.RGBA{R: 0x8a, G: 0x8a, B: 0x8a, A: 0xff},
}

// PlotOutcomes draws, for one profile, the percentages that matter for each
// method into dir and returns the file's path.
func PlotOutcomes(dir, profile string, list []Summary) (string, error) {
	p := plot.New()
	p.Title.Text = profile + ": rollouts by method"
	p.Y.Label.Text = "% of versions"
	// The room above 100 % is for the legend.
	p.Y.Min, p.Y.Max = 0, 140
	p.Legend.Top = true
	p.Legend.Left = true
	p.NominalX("bad taken back", "good done in time", "good taken back")
	for i, method := range methodsOf(list) {
		bars, err := plotter.NewBarChart(outcomeValues(list, profile, method), barWidth)
		if err != nil {
			return "", errors.Wrap(err, "bar chart")
		}
		bars.Color = palette[i%len(palette)]
		bars.Offset = vg.Length(i-1) * barWidth
		p.Add(bars)
		p.Legend.Add(method, bars)
	}
	path := filepath.Join(dir, "comparison-"+profile+".png")
	return path, errors.Wrap(p.Save(figureWidth, figureHeight, path), "save figure")
}

// outcomeValues returns the three percentages of a method.
func outcomeValues(list []Summary, profile, method string) plotter.Values {
	values := make(plotter.Values, 3)
	for _, s := range list {
		if s.Profile != profile || s.Method != method || s.Kind != allKinds {
			continue
		}
		if s.Bad {
			values[0] = percent(s.Reversed, s.Replays)
			continue
		}
		values[1] = percent(s.InTime, s.Replays)
		values[2] = percent(s.Reversed, s.Replays)
	}
	return values
}

// PlotHarmed draws the mean number of calls that each kind of fault harmed.
func PlotHarmed(dir, profile string, list []Summary) (string, error) {
	p := plot.New()
	p.Title.Text = profile + ": calls harmed by a bad version, mean per rollout"
	p.Y.Label.Text = "calls (log scale)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Y.Min, p.Y.Max = 0.1, 1e5
	var names []string
	for _, k := range badKinds {
		names = append(names, string(k))
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	for i, method := range methodsOf(list) {
		points := make(plotter.XYs, 0, len(badKinds))
		for x, k := range badKinds {
			for _, s := range list {
				if s.Profile == profile && s.Method == method && s.Kind == string(k) {
					// A log scale has no zero; 0.1 stands for none.
					points = append(points, plotter.XY{X: float64(x), Y: max(s.HarmedMean, 0.1)})
				}
			}
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return "", errors.Wrap(err, "scatter")
		}
		dots.Color, dots.Radius = palette[i%len(palette)], vg.Points(4)
		p.Add(dots)
		p.Legend.Add(method, dots)
	}
	path := filepath.Join(dir, "harmed-"+profile+".png")
	return path, errors.Wrap(p.Save(figureWidth, figureHeight, path), "save figure")
}

func methodsOf(list []Summary) []string {
	var names []string
	seen := map[string]bool{}
	for _, s := range list {
		if !seen[s.Method] {
			seen[s.Method] = true
			names = append(names, s.Method)
		}
	}
	return names
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
