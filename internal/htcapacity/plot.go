package htcapacity

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// curve is a column of a series on a chart.
type curve struct {
	label  string
	series string
	unit   string
	scale  float64 // factor from the unit of the series to the unit of the chart
}

// chart is a plot of one or more curves to which the same limit applies.
type chart struct {
	name     string
	title    string
	x, y     string
	curves   []curve
	limit    float64 // 0 if the chart has none
	logScale bool    // logarithmic scale on both axes
	// timesSize multiplies each value by its size, which turns a value per host into the
	// total of all hosts.
	timesSize bool
}

var charts = []chart{
	{
		name: "call", title: "CPU time of caller, hosts and upstream", x: "calls a second", y: "CPU ms a second",
		curves: []curve{
			{"direct", "call", "direct-cpu-us-per-s", 1e-3},
			{"bare relay", "call", "relay-cpu-us-per-s", 1e-3},
			{"dispatcher's host", "call", "local-cpu-us-per-s", 1e-3},
			{"forwarded", "call", "forwarded-cpu-us-per-s", 1e-3},
			{"keyed", "call", "keyed-cpu-us-per-s", 1e-3},
		},
	},
	{
		name: "bytes", title: "bytes of one host (limit 4 KB/s)", x: "members", y: "B/s", limit: limitBytes, logScale: true,
		curves: []curve{
			{"heartbeats, both directions", "heartbeat", "bytes-per-s", 2},
			{"table and host list", "members", "platform-bytes-per-s", 1},
		},
	},
	{
		name: "members", title: "CPU time of an idle host (limit 4.3% of a core)", x: "members", y: "ms/s", limit: limitCPU / 1e3,
		curves: []curve{{"idle host", "members", "cpu-us-per-s", 1e-3}},
	},
	{
		name: "table", title: "requests of all hosts (limit of writes 300/s)", x: "members", y: "requests a second",
		limit: limitWrites, logScale: true, timesSize: true,
		curves: []curve{
			{"reads", "members", "table-reads-per-s", 1},
			{"writes", "members", "table-writes-per-s", 1},
		},
	},
	{
		name: "snapshot", title: "a change of the declared state", x: "services", y: "kB", logScale: true,
		curves: []curve{
			{"message to each host", "snapshot", "push-bytes", 1e-3},
			{"rows read from the table", "snapshot", "row-bytes", 1e-3},
			{"heap", "snapshot", "heap-bytes", 1e-3},
		},
	},
	{
		name: "owner", title: "owner of a shard, computed for each call", x: "members", y: "CPU us", logScale: true,
		curves: []curve{
			{"pool shard", "owner", "pool-cpu-us", 1},
			{"key partition", "owner", "key-cpu-us", 1},
		},
	},
}

var palette = []color.RGBA{{0, 114, 178, 255}, {230, 159, 0, 255}, {0, 158, 115, 255}, {213, 94, 0, 255}, {0, 0, 0, 255}}

// WritePlots draws each chart into a PNG file in dir.
func WritePlots(file *File, dir string) error {
	for _, c := range charts {
		p, err := c.draw(file)
		if err != nil {
			return err
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, "capacity-"+c.name+".png")); err != nil {
			return err
		}
	}
	return nil
}

func (c chart) draw(file *File) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	if c.logScale {
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var smallest, largest float64
	for i, from := range c.curves {
		points, err := from.points(file, c.timesSize)
		if err != nil {
			return nil, err
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, marks.Color = palette[i], palette[i]
		p.Add(line, marks)
		p.Legend.Add(from.label, line, marks)
		if i == 0 {
			smallest = points[0].X
		}
		smallest, largest = min(smallest, points[0].X), max(largest, points[len(points)-1].X)
	}
	if c.limit == 0 {
		return p, nil
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: smallest, Y: c.limit}, {X: largest, Y: c.limit}})
	if err != nil {
		return nil, err
	}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	p.Legend.Add("limit", limit)
	return p, nil
}

func (c curve) points(file *File, timesSize bool) (plotter.XYs, error) {
	series, err := file.Find(c.series)
	if err != nil {
		return nil, err
	}
	sizes, values, err := series.Column(c.unit)
	if err != nil {
		return nil, err
	}
	points := make(plotter.XYs, len(sizes))
	for i, x := range sizes {
		y := values[i] * c.scale
		if timesSize {
			y *= x
		}
		points[i] = plotter.XY{X: x, Y: y}
	}
	return points, nil
}
