package main

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plotSeries writes a series as an SVG file, with logarithmic axes where all
// values allow it.
func plotSeries(file string, s Series) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text, p.Y.Label.Text = s.X, s.Y
	points := make(plotter.XYs, len(s.Points))
	logX, logY := true, true
	for i, m := range s.Points {
		points[i].X, points[i].Y = m.X, m.Y
		logX, logY = logX && m.X > 0, logY && m.Y > 0
	}
	if logX && logY {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), line, dots)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		return err
	}
	return out.Close()
}
