package htmodel

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of the plot and of its lines, and the range of the distribution that it shows.
const (
	plotWidth     = 28 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
	plotMinShare  = 0.0005
	plotMinMS     = 1.0
	plotMaxMS     = 2000.0
	plotLineWidth = 1.5 * vg.Millimeter / 3
)

var palette = []color.RGBA{
	{150, 150, 150, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{0, 0, 0, 255},
}

// WritePlot writes a PNG file with one plot for each load of the steady scenario. A plot
// shows the share of requests whose added time is longer than a given time.
func (c Comparison) WritePlot(file string) error {
	var plots []*plot.Plot
	for _, b := range c.Blocks {
		if b.Scenario != Steady {
			continue
		}
		p, err := c.plotBlock(b)
		if err != nil {
			return err
		}
		plots = append(plots, p)
	}
	image := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 1, Cols: len(plots), PadX: vg.Centimeter / 2}
	for i, canvas := range plot.Align([][]*plot.Plot{plots}, tiles, draw.New(image))[0] {
		plots[i].Draw(canvas)
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(out); err != nil {
		_ = out.Close() // the first error is the one to report
		return err
	}
	return out.Close()
}

func (c Comparison) plotBlock(b Block) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, load %.1f, speed shifts, seed %d", c.Workload, b.Load, c.Seed)
	p.X.Label.Text = "added time (ms)"
	p.Y.Label.Text = "share of requests that take longer"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max = plotMinMS, plotMaxMS
	p.Y.Min, p.Y.Max = plotMinShare, 1
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, r := range b.Rows {
		if r.Group == GroupHostAlone && r.Policy != b.StrongestHostAlone && !plottedHostAlone[r.Policy] {
			continue
		}
		line, err := plotter.NewLine(tailXYs(r))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.Policy, err)
		}
		line.Color = palette[drawn%len(palette)]
		line.Width = plotLineWidth
		drawn++
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	// Adding lines widens the axes to the data.
	p.X.Min, p.X.Max = plotMinMS, plotMaxMS
	p.Y.Min, p.Y.Max = plotMinShare, 1
	return p, nil
}

// plottedHostAlone names the host-alone policies that are drawn in addition to the
// strongest one.
var plottedHostAlone = map[string]bool{"b two choices, own": true, "d least own": true}

func tailXYs(r Row) plotter.XYs {
	var points plotter.XYs
	for _, t := range r.tail {
		if t.ms >= plotMinMS && t.ms <= plotMaxMS && t.share >= plotMinShare {
			points = append(points, plotter.XY{X: t.ms, Y: t.share})
		}
	}
	return points
}
