package report

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var files embed.FS

// figure is a plot with a description of it in words.
type figure struct {
	SVG  template.HTML
	Text string
}

// Page writes the report as one self-contained HTML page.
func (r *Report) Page(out io.Writer) error {
	page, err := template.New("page.html").Funcs(template.FuncMap{
		"when": func(t time.Time) string { return t.Format("2006-01-02 15:04:05") },
		"add":  func(a, b float64) float64 { return roundHundredths(a + b) },
		"share": func(t TeamReport) (figure, error) {
			text := fmt.Sprintf("Processors of %s over time: %v on average, %v at most; guarantee %v, ", t.Name, t.MeanCpus, t.MostCpus, t.Guarantee)
			if t.Limit > 0 {
				text += fmt.Sprintf("limit %v.", t.Limit)
			} else {
				text += "no limit."
			}
			svg, err := shareSVG(t)
			return figure{svg, text}, err
		},
		"waits": func(t TeamReport) (figure, error) {
			svg, err := waitsSVG(t)
			return figure{svg, fmt.Sprintf("Waits of %d jobs of %s from submission, or from the end of what they awaited, to their first task: half within %v s, nine of ten within %v s, the longest %v s.",
				t.Waits.Count, t.Name, t.Waits.P50, t.Waits.P90, t.Waits.Most)}, err
		},
		"lates": func(t TeamReport) (figure, error) {
			svg, err := latenessSVG(t)
			text := fmt.Sprintf("Ends of %d jobs of %s against their deadlines (0): ", t.WithDue, t.Name)
			if t.Late == 0 {
				text += "none late."
			} else {
				text += fmt.Sprintf("%d late, half of those by up to %v s, the worst by %v s.", t.Late, t.LateBy.P50, t.LateBy.Most)
			}
			return figure{svg, text}, err
		},
		"evictions": func(t TeamReport) (figure, error) {
			svg, err := evictionsSVG(t)
			return figure{svg, fmt.Sprintf("Evicted tasks since the beginning: %d of %s, and %d of others for its jobs.", t.Evicted, t.Name, t.EvictedFor)}, err
		},
		"money": func(t TeamReport) (figure, error) {
			svg, err := moneySVG(t)
			return figure{svg, fmt.Sprintf("Money for %s since the beginning: %v in all, its part of the machines that its tasks were on.", t.Name, t.Money)}, err
		},
	}).ParseFS(files, "page.html")
	if err != nil {
		return fmt.Errorf("parse report page template: %w", err)
	}
	if err := page.Execute(out, r); err != nil {
		return fmt.Errorf("render report page: %w", err)
	}
	return nil
}

// The colours also differ in lightness, and the lines in their dashes, because the page may be printed in
// black and white.
var (
	blue   = color.RGBA{0x1f, 0x4e, 0x8c, 0xff}
	orange = color.RGBA{0xc8, 0x5a, 0x00, 0xff}
	grey   = color.RGBA{0x55, 0x55, 0x55, 0xff}
)

const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 5.2 * vg.Centimeter
)

// newPlot returns an empty plot with the given label of the y axis. Its x axis shows the time of day, with
// seconds if the span is below an hour; if span is 0 it is not a time axis.
func newPlot(y string, span time.Duration) *plot.Plot {
	chart := plot.New()
	chart.Y.Label.Text = y
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.TextStyle.Font.Size, chart.Legend.Padding = 8, vg.Points(2)
	chart.X.Label.TextStyle.Font.Size, chart.Y.Label.TextStyle.Font.Size = 9, 9
	chart.X.Tick.Label.Font.Size, chart.Y.Tick.Label.Font.Size = 8, 8
	chart.Add(plotter.NewGrid())
	if span > 0 {
		format := "15:04\n01-02"
		if span < time.Hour {
			format = "15:04:05"
		}
		chart.X.Tick.Marker = plot.TimeTicks{Format: format, Time: plot.UnixTimeIn(time.Local)}
	}
	return chart
}

// renderSVG renders a plot as SVG to be embedded in the page without escaping. Plots must not contain names
// that users chose.
func renderSVG(chart *plot.Plot) (template.HTML, error) {
	addHeadroom(chart)
	c := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("write plot as SVG: %w", err)
	}
	s := b.String()
	at := strings.Index(s, "<svg")
	if at < 0 {
		return "", fmt.Errorf("plot: output has no svg element")
	}
	return template.HTML(strings.Replace(s[at:], "<svg", `<svg aria-hidden="true"`, 1)), nil
}

func addLine(p *plot.Plot, name string, xy plotter.XYs, c color.Color, dashes ...vg.Length) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return fmt.Errorf("plot line: %w", err)
	}
	l.Color, l.Dashes, l.Width = c, dashes, vg.Points(1.2)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func seriesPoints(t TeamReport, y func(Point) float64) plotter.XYs {
	var xy plotter.XYs
	for _, p := range t.Series {
		xy = append(xy, plotter.XY{X: float64(p.At.UnixMilli()) / 1000, Y: y(p)})
	}
	return xy
}

func shareSVG(team TeamReport) (template.HTML, error) {
	chart := newPlot("processors", team.span())
	err := addLine(chart, "used", seriesPoints(team, func(p Point) float64 { return p.Cpus }), blue)
	if err == nil {
		err = addLine(chart, "waiting", seriesPoints(team, func(p Point) float64 { return p.Waiting }), orange, vg.Points(1), vg.Points(2))
	}
	if err == nil {
		err = addLine(chart, "guarantee", seriesPoints(team, func(Point) float64 { return team.Guarantee }), grey, vg.Points(6), vg.Points(3))
	}
	if err == nil && team.Limit > 0 {
		err = addLine(chart, "limit", seriesPoints(team, func(Point) float64 { return team.Limit }), grey, vg.Points(2), vg.Points(2))
	}
	if err != nil {
		return "", err
	}
	return renderSVG(chart)
}

// addHeadroom extends the y axis so that the lines don't cross the legend.
func addHeadroom(p *plot.Plot) { p.Y.Max += (p.Y.Max - p.Y.Min) / 3 }

// span returns the time that the team's series covers.
func (t TeamReport) span() time.Duration {
	if len(t.Series) < 2 {
		return time.Second
	}
	return t.Series[len(t.Series)-1].At.Sub(t.Series[0].At)
}

func moneySVG(t TeamReport) (template.HTML, error) {
	p := newPlot("money", t.span())
	if err := addLine(p, "so far", seriesPoints(t, func(p Point) float64 { return p.Money }), blue); err != nil {
		return "", err
	}
	return renderSVG(p)
}

// waitsSVG plots the percentage of the team's jobs that started within a waiting time.
func waitsSVG(team TeamReport) (template.HTML, error) {
	chart := newPlot("jobs, %", 0)
	chart.X.Label.Text = "started within, seconds"
	chart.X.Min = 0
	w := slices.Sorted(slices.Values(team.waitSeconds))
	var xy plotter.XYs
	step := max(1, len(w)/maxPoints)
	for i := 0; i < len(w); i += step {
		xy = append(xy, plotter.XY{X: w[i], Y: 100 * float64(i+1) / float64(len(w))})
	}
	if n := len(w); n > 0 {
		xy = append(xy, plotter.XY{X: w[n-1], Y: 100})
	}
	if err := addLine(chart, "started", xy, blue); err != nil {
		return "", err
	}
	return renderSVG(chart)
}

// evictionsSVG plots the cumulative number of victims over time.
func evictionsSVG(team TeamReport) (template.HTML, error) {
	chart := newPlot("tasks", team.span())
	steps := func(of int) plotter.XYs {
		xy := plotter.XYs{}
		last := 0.0
		for i, e := range team.evictedSoFar {
			if i == 0 && len(team.Series) > 0 {
				xy = append(xy, plotter.XY{X: float64(team.Series[0].At.UnixMilli()) / 1000})
			}
			xy = append(xy, plotter.XY{X: e[0], Y: last}, plotter.XY{X: e[0], Y: e[of]})
			last = e[of]
		}
		return xy
	}
	err := addLine(chart, "its own", steps(1), orange)
	if err == nil {
		err = addLine(chart, "for its jobs", steps(2), blue, vg.Points(4), vg.Points(2))
	}
	if err != nil {
		return "", err
	}
	return renderSVG(chart)
}

// latenessSVG plots the lateness of each job over the time of its end.
func latenessSVG(team TeamReport) (template.HTML, error) {
	chart := newPlot("late by, s", team.span())
	var xy plotter.XYs
	for _, l := range team.lateness {
		xy = append(xy, plotter.XY{X: l[0], Y: l[1]})
		chart.Y.Min = min(chart.Y.Min, l[1])
	}
	if len(xy) > 0 {
		s, err := plotter.NewScatter(xy)
		if err != nil {
			return "", fmt.Errorf("plot job ends: %w", err)
		}
		s.Color, s.Radius, s.Shape = orange, vg.Points(1.6), draw.CircleGlyph{}
		chart.Add(s)
		chart.Legend.Add("a job", s)
		chart.Add(plotter.NewFunction(func(float64) float64 { return 0 }))
	}
	return renderSVG(chart)
}

// FiguresPath returns the name of the JSON file with the figures of a page.
func FiguresPath(page string) string { return strings.TrimSuffix(page, ".html") + ".json" }

// Write writes the page and the JSON file with its figures. Each file is written completely or not at all.
func (r *Report) Write(page string) error {
	var buffer bytes.Buffer
	if err := r.Page(&buffer); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report figures: %w", err)
	}
	for _, f := range []struct {
		name string
		body []byte
	}{{FiguresPath(page), append(raw, '\n')}, {page, buffer.Bytes()}} {
		tmp := f.name + ".part"
		if err := os.WriteFile(tmp, f.body, 0o600); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		if err := os.Rename(tmp, f.name); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
