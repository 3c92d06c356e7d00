package collector

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"heathercroft.example/heathercroft/pkg/timeline"
)

// Measures of the picture in pixels.
const (
	laneHeight  = 34
	columnWidth = 46
	leftMargin  = 190
	topMargin   = 56
	legendLine  = 18
	markRadius  = 6
	nameLength  = 26
	// minWidth holds the title, which has up to 150 characters.
	minWidth = 1000
)

// maxDrawn bounds the events of a picture, since browsers draw larger ones slowly.
const maxDrawn = 2000

// palette holds colors that can be told apart by most people with color blindness.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#999933"}

// picture is an SVG document with a lane for each process and columns in merged
// order, so that causes stand to the left of effects.
type picture struct {
	buf    bytes.Buffer
	lanes  map[string]int
	colors map[timeline.Kind]string
}

// writeSVG draws the newest events that fit.
func writeSVG(w io.Writer, events []timeline.Event) error {
	left := max(len(events)-maxDrawn, 0)
	events = events[left:]
	p := &picture{lanes: map[string]int{}, colors: map[timeline.Kind]string{}}
	p.assign(events)
	columns := columnsOf(events)
	width := leftMargin + 2*columnWidth
	if len(columns) > 0 {
		width += columnWidth * columns[len(columns)-1]
	}
	width = max(minWidth, width)
	height := topMargin + laneHeight*len(p.lanes) + legendLine*(len(p.colors)+2)
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`, width, height, width, height)
	p.printf(`<rect width="100%%" height="100%%" fill="#ffffff"/>`)
	first, last := span(events)
	title := fmt.Sprintf("%d events of %d processes, %s to %s; columns are in merged order", len(events), len(p.lanes), first.Format(timeLayout), last.Format(timeLayout))
	if left > 0 {
		title += fmt.Sprintf("; %d older events are not drawn", left)
	}
	p.text(10, 22, "start", 14, title)
	p.drawLanes(width)
	for i, e := range events {
		p.drawEvent(columns[i], e)
	}
	p.drawLegend()
	p.printf("</svg>\n")
	_, err := w.Write(p.buf.Bytes())
	return err
}

// columnsOf gives each event a column. Events of the same kind and revision that
// follow each other in different processes share one, so that a record that many
// nodes apply is one column of marks.
func columnsOf(events []timeline.Event) []int {
	columns := make([]int, len(events))
	taken := map[string]bool{}
	for i, e := range events {
		if i > 0 {
			columns[i] = columns[i-1]
			before := events[i-1]
			if e.Revision == 0 || e.Kind != before.Kind || e.Revision != before.Revision || taken[e.Process] {
				columns[i]++
				clear(taken)
			}
		}
		taken[e.Process] = true
	}
	return columns
}

// assign gives each process a lane and each kind a color, both in order of name.
func (p *picture) assign(events []timeline.Event) {
	for _, e := range events {
		p.lanes[e.Process] = 0
		p.colors[e.Kind] = ""
	}
	for i, process := range slices.Sorted(maps.Keys(p.lanes)) {
		p.lanes[process] = i
	}
	for i, kind := range slices.Sorted(maps.Keys(p.colors)) {
		p.colors[kind] = palette[i%len(palette)]
	}
}

func (p *picture) laneY(process string) int { return topMargin + laneHeight*p.lanes[process] }

func (p *picture) drawLanes(width int) {
	for _, process := range slices.Sorted(maps.Keys(p.lanes)) {
		y := p.laneY(process)
		p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#c8c8c8"/>`, leftMargin, y, width-10, y)
		p.text(leftMargin-12, y+4, "end", 12, shorten(process))
	}
}

func (p *picture) drawEvent(column int, e timeline.Event) {
	x, y := leftMargin+columnWidth*(column+1)-columnWidth/2, p.laneY(e.Process)
	p.printf(`<g><title>%s</title><circle cx="%d" cy="%d" r="%d" fill="%s"/>`,
		escape(fmt.Sprintf("%s %s %s%s", e.Time.UTC().Format(timeLayout), e.Process, e.Kind, fieldsText(e))),
		x, y, markRadius, p.colors[e.Kind])
	if e.Revision != 0 {
		p.text(x, y-markRadius-4, "middle", 11, strconv.FormatUint(e.Revision, 10))
	}
	p.printf("</g>\n")
}

func (p *picture) drawLegend() {
	y := topMargin + laneHeight*len(p.lanes)
	p.text(10, y, "start", 12, "Numbers are log revisions. Colors are kinds:")
	for _, kind := range slices.Sorted(maps.Keys(p.colors)) {
		y += legendLine
		p.printf(`<circle cx="18" cy="%d" r="%d" fill="%s"/>`, y-4, markRadius, p.colors[kind])
		p.text(32, y, "start", 12, string(kind))
	}
}

func (p *picture) text(x, y int, anchor string, size int, text string) {
	p.printf(`<text x="%d" y="%d" text-anchor="%s" font-size="%d" fill="#202020">%s</text>`, x, y, anchor, size, escape(text))
}

func (p *picture) printf(format string, args ...any) { fmt.Fprintf(&p.buf, format, args...) }

// shorten keeps a long name from running out of the picture; the titles of the
// marks hold it whole.
func shorten(name string) string {
	runes := []rune(name)
	if len(runes) <= nameLength {
		return name
	}
	return string(runes[:nameLength-1]) + "…"
}

// escape makes any text valid in XML; characters that XML can't hold are replaced.
func escape(text string) string {
	var b bytes.Buffer
	// A bytes.Buffer returns no error.
	_ = xml.EscapeText(&b, []byte(text))
	return b.String()
}
