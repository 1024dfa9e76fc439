package main

import (
	"math"
	"os"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// TestPageMatchesFigures fails where docs/CAPACITY.md was changed by hand, or
// where the model was changed without -render.
func TestPageMatchesFigures(t *testing.T) {
	is := is.New(t)
	f, err := load("../../docs/figures/capacity.json")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	filled, err := fill(string(page), f)
	is.NoErr(err)
	is.True(filled == string(page)) // go run ./tools/capacity -render
	for _, m := range measurements() {
		for _, id := range m.ids {
			s := f.Get(id)
			is.True(len(s.Points) >= 3)
			is.True(s.Span() >= 30)
		}
	}
}

func TestFillNeedsEverySection(t *testing.T) {
	_, err := fill("no marks", Figures{})
	is.New(t).True(errorx.IsOfType(err, ErrPage))
}

func TestSeries(t *testing.T) {
	line := Series{Points: []Point{{1, 5}, {2, 7}, {10, 23}}}
	tests := []struct{ got, want float64 }{
		{line.At(1), 5},
		{line.At(1.5), 6},
		{line.At(20), 43},
		{line.Span(), 10},
		{Series{Points: []Point{{4, 9}}}.At(100), 9},
		{Series{Points: []Point{{1, 2}, {100, 20}}}.Exponent(), 0.5},
		{Series{Points: []Point{{1, 0}, {100, 20}}}.Exponent(), 0},
	}
	is := is.New(t)
	for _, tt := range tests {
		is.True(math.Abs(tt.got-tt.want) < 1e-9)
	}
	intercept, slope := line.Slope()
	is.True(math.Abs(intercept-3) < 1e-9)
	is.True(math.Abs(slope-2) < 1e-9)
}

func TestFormats(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ got, want string }{
		{digits(0), "0"},
		{digits(1234.5), "1230"},
		{digits(0.01239), "0.0124"},
		{digits(12), "12"},
		{siBytes(999), "999 B"},
		{siBytes(35.6e6), "35.6 MB"},
		{seconds(0.0123), "12.3 ms"},
		{seconds(4e-7), "400 ns"},
		{percent(0.0171), "1.71 %"},
		{grouped(1234567), "1,234,567"},
		{grouped(12), "12"},
		{verdict(1, 0), "no budget"},
		{verdict(1, 2), "within, 50 % of it"},
		{verdict(3, 2), "**missed, 1.5 times it**"},
	} {
		is.Equal(tt.got, tt.want)
	}
}
