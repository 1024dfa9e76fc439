package fleetfile

import (
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/finding"
	"fulmarmount.org/fulmarmount/internal/inifile"
)

// Diff returns the keys that differ between two documents as lines of the
// fleet file, marked by "-" where they are only in from and "+" where they are
// only in to.
func Diff(from, to *fleet.Document) []string {
	old, changed := parsed(from), parsed(to)
	var lines []string
	for _, s := range old.Sections {
		lines = append(lines, missing("-", s, find(changed, s.Name))...)
		if other := find(changed, s.Name); other != nil {
			lines = append(lines, missing("+", *other, &s)...)
		}
	}
	for _, s := range changed.Sections {
		if find(old, s.Name) == nil {
			lines = append(lines, missing("+", s, nil)...)
		}
	}
	return lines
}

func parsed(d *fleet.Document) *inifile.File {
	var ignored finding.Findings
	return inifile.Parse("", Format(d), &ignored)
}

func find(f *inifile.File, name string) *inifile.Section {
	for i := range f.Sections {
		if f.Sections[i].Name == name {
			return &f.Sections[i]
		}
	}
	return nil
}

// missing lists the keys of s that other lacks or has another value for.
func missing(mark string, s inifile.Section, other *inifile.Section) []string {
	values := make(map[string]string)
	if other != nil {
		for _, k := range other.Keys {
			values[k.Name] = k.Value
		}
	}
	var lines []string
	for _, k := range s.Keys {
		if value, ok := values[k.Name]; !ok || value != k.Value {
			lines = append(lines, mark+" ["+s.Name+"] "+k.Name+" = "+k.Value)
		}
	}
	return lines
}
