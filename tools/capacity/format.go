package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// siBytes formats bytes with three digits.
func siBytes(b float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
		if math.Abs(b) >= unit.size {
			return digits(b/unit.size) + " " + unit.name
		}
	}
	return digits(b) + " B"
}

// seconds formats a duration in seconds with three digits.
func seconds(s float64) string {
	switch {
	case s == 0:
		return "0 s"
	case s < 1e-6:
		return digits(s*1e9) + " ns"
	case s < 1e-3:
		return digits(s*1e6) + " µs"
	case s < 1:
		return digits(s*1e3) + " ms"
	}
	return digits(s) + " s"
}

func percent(share float64) string { return digits(share*100) + " %" }

// digits formats v with three significant digits and without an exponent.
func digits(v float64) string {
	if v == 0 {
		return "0"
	}
	places := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	text := strconv.FormatFloat(math.Round(v*scale)/scale, 'f', min(places, 6), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// grouped formats a count with separators of thousands.
func grouped(v float64) string {
	text := strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// table renders a Markdown table.
func table(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(header)
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range rows {
		line(row)
	}
	return b.String()
}
