package inifile

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/finding"
)

func TestValuesAreTheRestOfTheirLine(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"k = v", "v"},
		{"  k=v  \r", "v"},
		{"k = a = b", "a = b"},
		{"k = a # b ; c", "a # b ; c"},
		{`k = "a"`, `"a"`},
		{`k = a\`, `a\`},
		{"k = %(other)s", "%(other)s"},
		{"k =", ""},
	} {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			var found finding.Findings
			file := Parse("f.ini", []byte("\xEF\xBB\xBF[s]\n"+tt.text+"\nother = x\n"), &found)
			is.NoErr(found.Err())
			is.Equal(file.Sections[0].Keys, []Key{{"k", tt.want, 2}, {"other", "x", 3}})
		})
	}
}

func TestRefusedLinesDoNotHideOthers(t *testing.T) {
	is := is.New(t)
	var found finding.Findings
	lines := []string{"k = stray", "[s", "[]", "[s]", "no pair", "k = 1", "k = 2", "k% = 3", "q = `x", "- = 4", "[s]", "hidden = 5", "[t]", "k = 6"}
	file := Parse("f.ini", []byte(strings.Join(lines, "\n")), &found)
	var refused []int
	for _, f := range found.Sorted() {
		refused = append(refused, f.Line)
	}
	is.Equal(refused, []int{1, 2, 3, 5, 7, 8, 9, 10, 11})
	is.Equal(file.Sections, []Section{
		{Name: "s", Line: 4, Keys: []Key{{"k", "1", 6}}},
		{Name: "t", Line: 13, Keys: []Key{{"k", "6", 14}}},
	})
}
