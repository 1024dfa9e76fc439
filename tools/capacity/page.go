package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrPage is returned for a page without the marks of a section.
var ErrPage = errorx.NewNamespace("capacity").NewType("page")

// section is a part of the page that is made from the figures.
type section struct {
	name   string
	render func(costs) string
}

func sections() []section {
	return []section{
		{"series", renderSeries},
		{"balancer", func(c costs) string { return renderRows(c.balancer()) }},
		{"agent", func(c costs) string { return renderRows(c.agent()) }},
		{"relay", func(c costs) string { return renderRows(c.relay()) }},
		{"replica", func(c costs) string { return renderRows(c.replica()) }},
		{"in-force", func(c costs) string { return renderRows(c.inForce()) }},
		{"moments", renderMoments},
		{"misses", renderMisses},
	}
}

// rewrite replaces the marked sections of the page.
func rewrite(page string, f Figures) error {
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := fill(string(old), f)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

// fill replaces the text between the marks of each section.
func fill(text string, f Figures) (string, error) {
	c := costs{Figures: f, fleet: target}
	for _, s := range sections() {
		begin, end := "<!-- "+s.name+" -->\n", "<!-- /"+s.name+" -->"
		i, j := strings.Index(text, begin), strings.Index(text, end)
		if i < 0 || j < i {
			return "", ErrPage.New("the page lacks the marks of section %q", s.name)
		}
		text = text[:i+len(begin)] + "\n" + s.render(c) + "\n" + text[j:]
	}
	return text, nil
}

func renderSeries(c costs) string {
	var rows [][]string
	for _, s := range c.Series {
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		_, slope := s.Slope()
		rows = append(rows, []string{
			fmt.Sprintf("[`%s`](figures/%s.svg)", s.ID, s.ID),
			s.Title,
			fmt.Sprintf("%s to %s %s", grouped(first.X), grouped(last.X), s.X),
			fmt.Sprintf("%s to %s %s", digits(first.Y), digits(last.Y), s.Y),
			fmt.Sprintf("%s %s", digits(slope), s.Y),
			digits(s.Exponent()),
		})
	}
	return "Run on " + c.Machine + ".\n\n" +
		table([]string{"series", "what", "sizes", "cost", "slope per unit of size", "exponent"}, rows)
}

func renderRows(rows []Row) string {
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{r.Quantity, r.Value, r.From, verdict(r.Use, r.Budget), r.Mechanism})
	}
	return table([]string{"quantity", "value", "worked out from", "budget", "mechanism"}, cells)
}

func renderMoments(c costs) string {
	var cells [][]string
	for _, m := range c.moments() {
		cells = append(cells, []string{
			m.Name, m.Work, seconds(m.Daemon), seconds(m.Relay), seconds(m.InForce), verdict(m.InForce, budgetInForce),
		})
	}
	return table([]string{"moment", "work", "at 20 kB/s per daemon", "at a relay's 1 Gb/s", "in force, ignoring 20 kB/s", "17 s"}, cells)
}

// renderMisses lists what does not fit and what would close it.
func renderMisses(c costs) string {
	var b strings.Builder
	for _, role := range []struct {
		name string
		rows []Row
	}{{"balancer", c.balancer()}, {"agent", c.agent()}, {"relay", c.relay()}, {"replica", c.replica()}} {
		for _, r := range role.rows {
			if r.Budget > 0 && r.Use > r.Budget {
				fmt.Fprintf(&b, "- %s, %s: %s, %s times the budget. Design change: %s.\n",
					role.name, r.Quantity, r.Value, digits(r.Use/r.Budget), r.Mend)
			}
		}
	}
	for _, m := range c.moments() {
		late, heavy := m.InForce > budgetInForce, m.Daemon > budgetInForce
		if !late && !heavy {
			continue
		}
		fmt.Fprintf(&b, "- %s: ", m.Name)
		if late {
			fmt.Fprintf(&b, "in force after %s, %s times 17 s; ", seconds(m.InForce), digits(m.InForce/budgetInForce))
		}
		fmt.Fprintf(&b, "within 20 kB/s it would take %s. Design change: %s.\n", seconds(m.Daemon), m.Mend)
	}
	return b.String()
}
