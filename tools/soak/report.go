package main

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// sample is the outcome of one attempt of a caller.
type sample struct {
	at, took time.Duration
	ok       bool
}

// faultRecord is a fault as it was played, in time since the start of the run.
type faultRecord struct {
	Fault
	from, to time.Duration
}

const (
	bucket     = 500 * time.Millisecond
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var page = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>Soak, seed {{.Seed}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:75em}td,th{padding:.1em 1em;text-align:left}</style>
<h1>Soak, seed {{.Seed}}, {{.Length}}</h1>
<p>{{if .Violations}}<b>{{len .Violations}} broken promises</b>{{else}}No broken promise.{{end}} Logs: {{.Folder}}</p>
{{if .Violations}}<ul>{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Served around the faults</h2>
<p>Attempts of callers in each half second by when they began: answered (blue), not answered (red). Grey marks the
beginnings of faults, numbered as below.</p>
{{.Plot}}
<h2>Faults</h2>
<table><tr><th>#<th>from, s<th>to, s<th>fault<th>target<th>answered from 2 s before to 2 s after</tr>
{{range .Faults}}<tr><td>{{.Number}}<td>{{printf "%.2f" .From}}<td>{{printf "%.2f" .To}}<td>{{.Kind}}<td>{{.Target}}<td>{{.Served}}</tr>
{{end}}</table>
<h2>Counts</h2>
<table>{{range $name, $n := .Counts}}<tr><td>{{$name}}<td>{{$n}}</tr>{{end}}</table>
`))

type faultRow struct {
	Number   int
	From, To float64
	Kind     faultKind
	Target   string
	Served   string
}

// writeReport writes report.html to the folder of a run.
func writeReport(w *world, o options) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(w.faultRecord, func(a, b faultRecord) int { return int(a.from - b.from) })
	var rows []faultRow
	for i, f := range w.faultRecord {
		rows = append(rows, faultRow{
			Number: i + 1, From: f.from.Seconds(), To: f.to.Seconds(), Kind: f.Kind, Target: f.Target,
			Served: w.served(f.from-2*time.Second, f.to+2*time.Second),
		})
	}
	svg, err := w.svg()
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if err := page.Execute(&b, map[string]any{
		"Seed": o.seed, "Length": o.length, "Violations": w.violations, "Folder": o.folder,
		"Plot": template.HTML(svg), "Faults": rows, "Counts": w.counts,
	}); err != nil {
		return "", errs.NewType("report").Wrap(err, "cannot fill in the page")
	}
	file := filepath.Join(o.folder, "report.html")
	return file, os.WriteFile(file, b.Bytes(), 0o600)
}

func (w *world) served(from, to time.Duration) string {
	ok, all := 0, 0
	for _, s := range w.samples {
		if s.at < from || s.at > to {
			continue
		}
		all++
		if s.ok {
			ok++
		}
	}
	return fmt.Sprintf("%d of %d", ok, all)
}

// svg returns the chart as text.
func (w *world) svg() (string, error) {
	p, err := w.chart()
	if err != nil {
		return "", errs.NewType("report").Wrap(err, "cannot draw the chart")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	_, err = canvas.WriteTo(&b)
	return b.String(), err
}

// chart plots outcomes by time, with the beginnings of the faults.
func (w *world) chart() (*plot.Plot, error) {
	answered, failed := w.buckets()
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "s", "attempts", 0
	if err := w.addFaults(p, answered); err != nil {
		return nil, err
	}
	for _, series := range []struct {
		points plotter.XYs
		color  color.Color
	}{{answered, color.RGBA{B: 200, A: 255}}, {failed, color.RGBA{R: 200, A: 255}}} {
		line, err := plotter.NewLine(series.points)
		if err != nil {
			return nil, err
		}
		line.Color = series.color
		p.Add(line)
	}
	return p, nil
}

// buckets counts outcomes by when their attempts began.
func (w *world) buckets() (answered, failed plotter.XYs) {
	for _, s := range w.samples {
		i := int(s.at / bucket)
		for len(answered) <= i {
			x := float64(len(answered)) * bucket.Seconds()
			answered, failed = append(answered, plotter.XY{X: x}), append(failed, plotter.XY{X: x})
		}
		if s.ok {
			answered[i].Y++
		} else {
			failed[i].Y++
		}
	}
	return answered, failed
}

// addFaults marks and numbers the beginnings of the faults.
func (w *world) addFaults(p *plot.Plot, answered plotter.XYs) error {
	top := 1.0
	for _, v := range answered {
		top = max(top, v.Y)
	}
	var labels plotter.XYLabels
	for i, f := range w.faultRecord {
		x := f.from.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: x}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		mark.Color = color.Gray{Y: 200}
		p.Add(mark)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: top * (1 + 0.06*float64(i%3))})
		labels.Labels = append(labels.Labels, fmt.Sprint(i+1))
	}
	numbers, err := plotter.NewLabels(labels)
	if err == nil {
		p.Add(numbers)
	}
	return err
}
