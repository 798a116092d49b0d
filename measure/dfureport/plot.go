package dfureport

import (
	"io"

	"dragonflyusher/measure/dfuexperiment"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// windowSeconds is the window length of a summary.
	windowSeconds = 2
)

// PlotWindows writes an SVG plot of the share of the possible worth reached in each
// window of a scenario, with a line for each scheduler. Outcomes of other scenarios are
// ignored.
func PlotWindows(w io.Writer, scenario string, outcomes []dfuexperiment.Outcome) error {
	p := plot.New()
	p.Title.Text = scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of worth earned"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	p.Legend.Left = true
	n := 0
	for i := range outcomes {
		o := &outcomes[i]
		if o.Scenario != scenario {
			continue
		}
		line, err := plotter.NewLine(windowPoints(o))
		if err != nil {
			return errors.Wrap(err, "plot windows")
		}
		line.Color = plotutil.Color(n)
		line.Dashes = plotutil.Dashes(n)
		n++
		p.Add(line)
		p.Legend.Add(o.Scheduler, line)
	}
	return writeSVG(w, p)
}

// windowPoints returns the mean over the seeds for each window.
func windowPoints(o *dfuexperiment.Outcome) plotter.XYs {
	points := make(plotter.XYs, len(o.Runs[0].Windows))
	for i := range points {
		points[i].X = float64(windowSeconds * i)
		for _, run := range o.Runs {
			points[i].Y += run.Windows[i] / float64(len(o.Runs))
		}
	}
	return points
}

// PlotWorth writes an SVG bar chart of the worth of each scheduler in each scenario.
func PlotWorth(w io.Writer, title string, scenarios, schedulers []string, outcomes []dfuexperiment.Outcome) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "worth"
	p.Legend.Top = true
	width := vg.Points(60 / float64(max(len(schedulers), 1)))
	for i, scheduler := range schedulers {
		bars, err := plotter.NewBarChart(worthValues(scheduler, scenarios, outcomes), width)
		if err != nil {
			return errors.Wrap(err, "plot worth by scenario")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(schedulers)-1)/2)
		p.Add(bars)
		p.Legend.Add(scheduler, bars)
	}
	p.NominalX(scenarios...)
	return writeSVG(w, p)
}

func worthValues(scheduler string, scenarios []string, outcomes []dfuexperiment.Outcome) plotter.Values {
	values := make(plotter.Values, len(scenarios))
	for i, scenario := range scenarios {
		for j := range outcomes {
			if outcomes[j].Scenario == scenario && outcomes[j].Scheduler == scheduler {
				values[i] = outcomes[j].Median(dfuexperiment.Worth)
			}
		}
	}
	return values
}

func writeSVG(w io.Writer, p *plot.Plot) error {
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	_, err = canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
