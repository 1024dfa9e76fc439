// Package inifile reads INI files together with the line of every section and
// key, which the INI library does not keep, and converts values to typed ones.
// Values run to the end of their line: there are no continuation lines, no
// inline comments, no quotes and no interpolation.
package inifile

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"fulmarmount.org/fulmarmount/internal/finding"
)

// maxFileSize bounds what is read, in bytes.
const maxFileSize = 64 << 20

var byteOrderMark = []byte{0xEF, 0xBB, 0xBF}

// File is a parsed INI file. Sections are in the order of the file.
type File struct {
	Name     string
	Sections []Section
}

// Section is one section with its keys in the order of the file.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is one key with its value.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Parse reads data. Faults of syntax, duplicate sections and duplicate keys
// are added to found; everything else is returned.
func Parse(name string, data []byte, found *finding.Findings) *File {
	file := &File{Name: name}
	if len(data) > maxFileSize {
		found.Add(finding.Finding{File: name, Message: "file is larger than 64 MiB"})
		return file
	}
	ix := &indexer{file: file, found: found}
	clean := ix.scan(data)
	options := ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
	}
	parsed, err := ini.LoadSources(options, clean)
	if err != nil {
		found.Add(finding.Finding{File: name, Message: err.Error()})
		return &File{Name: name}
	}
	for i := range file.Sections {
		fillValues(&file.Sections[i], parsed)
	}
	return file
}

// fillValues sets the values of the indexed keys of s.
func fillValues(s *Section, parsed *ini.File) {
	section, err := parsed.GetSection(s.Name)
	if err != nil {
		return
	}
	for i := range s.Keys {
		if section.HasKey(s.Keys[i].Name) {
			s.Keys[i].Value = section.Key(s.Keys[i].Name).Value()
		}
	}
}

// indexer records the line of each section and key, and reports the lines
// that the INI library would refuse or read across.
type indexer struct {
	file  *File
	found *finding.Findings
	// skipping is set inside a section whose heading was refused.
	skipping bool
}

// scan returns data with the refused lines left blank.
func (ix *indexer) scan(data []byte) []byte {
	data = bytes.TrimPrefix(data, byteOrderMark)
	lines := strings.Split(string(data), "\n")
	for i, raw := range lines {
		if !ix.line(i+1, strings.TrimSpace(raw)) {
			lines[i] = ""
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

// line indexes one line and reports whether the INI library may see it.
func (ix *indexer) line(number int, line string) bool {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return false
	case line[0] == '[':
		return ix.heading(number, line)
	case ix.skipping:
		return false
	}
	return ix.key(number, line)
}

func (ix *indexer) heading(number int, line string) bool {
	ix.skipping = true
	if len(line) < 3 || line[len(line)-1] != ']' {
		ix.add(number, "", "", "section heading is not of the form [name]")
		return false
	}
	name := line[1 : len(line)-1]
	if !validHeading(name) {
		ix.add(number, "", "", "section name holds characters other than letters, digits, '.', '-', '_', ':' and '/'")
		return false
	}
	for i := range ix.file.Sections {
		if ix.file.Sections[i].Name == name {
			ix.add(number, name, "", "duplicate section")
			return false
		}
	}
	ix.skipping = false
	ix.file.Sections = append(ix.file.Sections, Section{Name: name, Line: number})
	return true
}

func (ix *indexer) key(number int, line string) bool {
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	section := ix.current()
	switch {
	case section == nil:
		ix.add(number, "", name, "key stands before the first section")
		return false
	case !ok:
		ix.add(number, section.Name, "", "line is neither a section, a key = value pair nor a comment")
		return false
	case !validKey(name):
		ix.add(number, section.Name, name, "key name holds characters other than letters, digits, '.', '-' and '_'")
		return false
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		ix.add(number, section.Name, name, "quoted multi-line values are not supported")
		return false
	}
	for _, k := range section.Keys {
		if k.Name == name {
			ix.add(number, section.Name, name, "duplicate key")
			return false
		}
	}
	section.Keys = append(section.Keys, Key{Name: name, Line: number})
	return true
}

func (ix *indexer) current() *Section {
	if len(ix.file.Sections) == 0 {
		return nil
	}
	return &ix.file.Sections[len(ix.file.Sections)-1]
}

func (ix *indexer) add(line int, section, key, message string) {
	ix.found.Add(finding.Finding{File: ix.file.Name, Line: line, Section: section, Key: key, Message: message})
}

func validHeading(s string) bool { return validName(s, ".-_:/") }

// validKey also refuses "-", which the INI library replaces by a counter.
func validKey(s string) bool { return s != "" && s != "-" && validName(s, ".-_") }

func validName(s, extra string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune(extra, rune(c)) {
			return false
		}
	}
	return true
}
