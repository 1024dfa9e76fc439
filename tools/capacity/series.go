package main

import (
	"math"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is how one cost grows with one size.
type Series struct {
	// ID names the series on the command line and in file names.
	ID string `json:"id"`
	// Title says what costs.
	Title string `json:"title"`
	// X and Y name the axes; Y ends with its unit.
	X string `json:"x_axis"`
	Y string `json:"y_axis"`
	// Points are ordered by X.
	Points []Point `json:"points"`
}

// Slope returns the least-squares line y = intercept + slope*x.
func (s Series) Slope() (intercept, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		n++
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}

// Exponent returns p of the growth y ~ x^p from the first to the last point.
func (s Series) Exponent() float64 {
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	if first.Y <= 0 || last.Y <= 0 || first.X == last.X {
		return 0
	}
	return math.Log(last.Y/first.Y) / math.Log(last.X/first.X)
}

// Span returns how many times the last size is the first.
func (s Series) Span() float64 { return s.Points[len(s.Points)-1].X / s.Points[0].X }

// At returns y at x: between points on the line that joins them, beyond them on
// the line of the nearest two.
func (s Series) At(x float64) float64 {
	if len(s.Points) == 1 {
		return s.Points[0].Y
	}
	i := 1
	for i < len(s.Points)-1 && x > s.Points[i].X {
		i++
	}
	a, b := s.Points[i-1], s.Points[i]
	return a.Y + (x-a.X)*(b.Y-a.Y)/(b.X-a.X)
}

// Figures are all series of one run.
type Figures struct {
	// Machine names what the run was made on.
	Machine string   `json:"machine"`
	Series  []Series `json:"series"`
}

// Get returns a series by its ID, or an empty one that yields zero.
func (f Figures) Get(id string) Series {
	for _, s := range f.Series {
		if s.ID == id {
			return s
		}
	}
	return Series{ID: id, Points: []Point{{}}}
}

// Set replaces or adds a series.
func (f *Figures) Set(s Series) {
	for i := range f.Series {
		if f.Series[i].ID == s.ID {
			f.Series[i] = s
			return
		}
	}
	f.Series = append(f.Series, s)
}
