// Package fleetfile reads and writes the fleet's configuration as an INI file
// of defaults, services and exceptions.
package fleetfile

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/finding"
	"fulmarmount.org/fulmarmount/internal/inifile"
)

// Load reads and checks the file at path. The error carries every finding.
func Load(path string) (*fleet.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var found finding.Findings
		found.Add(finding.Finding{File: path, Message: "cannot read the file: " + err.Error()})
		return nil, found.Err()
	}
	return Parse(path, data)
}

// Parse reads and checks data. Findings name the file as name.
func Parse(name string, data []byte) (*fleet.Document, error) {
	p := newParser(name, data, fleet.DefaultSettings())
	p.validate(p.document)
	if err := p.found.Err(); err != nil {
		return nil, err
	}
	return p.document, nil
}

// ParsePatch reads a file that holds only what is to be added or replaced in
// current: whole services and exceptions, and single defaults. The sections in
// deleted are removed. The outcome is checked as a whole.
func ParsePatch(name string, data []byte, deleted []string, current *fleet.Document) (*fleet.Patch, error) {
	p := newParser(name, data, current.Defaults)
	patch := &fleet.Patch{PutServices: p.document.Services, PutExceptions: p.document.Exceptions}
	if p.document.Defaults != current.Defaults {
		patch.Defaults = &p.document.Defaults
	}
	for _, section := range deleted {
		p.deleteSection(patch, section, current)
	}
	p.validate(patch.Apply(current))
	if err := p.found.Err(); err != nil {
		return nil, err
	}
	return patch, nil
}

// deleteSection adds the removal of a section of current to patch.
func (p *parser) deleteSection(patch *fleet.Patch, section string, current *fleet.Document) {
	service, isService := strings.CutPrefix(section, fleet.ServiceSectionPrefix)
	exception, isException := strings.CutPrefix(section, fleet.ExceptionSectionPrefix)
	named := func(e fleet.Exception) bool { return e.Name == exception }
	switch {
	case isService && current.Service(service) != nil:
		patch.DeleteServices = append(patch.DeleteServices, service)
	case isException && slices.ContainsFunc(current.Exceptions, named):
		patch.DeleteExceptions = append(patch.DeleteExceptions, exception)
	default:
		p.found.Add(finding.Finding{Section: section, Message: "there is no such section to delete"})
	}
}

func newParser(name string, data []byte, defaults fleet.Settings) *parser {
	p := &parser{
		document: &fleet.Document{Defaults: defaults},
		unusable: make(map[place]bool),
	}
	p.file = inifile.Parse(name, data, &p.found)
	for i := range p.file.Sections {
		p.section(&p.file.Sections[i])
	}
	p.document.Normalize()
	return p
}

type parser struct {
	file     *inifile.File
	found    finding.Findings
	document *fleet.Document
	// unusable are the places that hold no value to validate, which was
	// reported when they were read.
	unusable map[place]bool
}

// place is where a finding stands.
type place struct{ section, key string }

func (p *parser) section(s *inifile.Section) {
	r := inifile.NewReader(p.file, s, &p.found)
	service, isService := strings.CutPrefix(s.Name, fleet.ServiceSectionPrefix)
	exception, isException := strings.CutPrefix(s.Name, fleet.ExceptionSectionPrefix)
	switch {
	case s.Name == fleet.SectionDefaults:
		p.defaults(r)
	case isService:
		p.service(r, service)
	case isException:
		p.exception(r, exception)
	default:
		r.Fail("", "unknown section")
		return
	}
	r.Done()
}

func (p *parser) defaults(r *inifile.Reader) {
	for _, key := range fleet.SettingKeys() {
		value := r.String(string(key), "")
		if !r.Has(string(key)) {
			continue
		}
		if err := p.document.Defaults.Set(key, value); err != nil {
			r.Fail(string(key), "%s", fleet.ErrorMessage(err))
		}
	}
}

func (p *parser) service(r *inifile.Reader, name string) {
	s := fleet.Service{
		Name:      name,
		Mode:      fleet.Mode(p.required(r, "mode")),
		Addresses: r.Addrs("addresses"),
	}
	if p.required(r, "addresses") != "" && len(s.Addresses) == 0 {
		p.unusable[place{r.Section(), "addresses"}] = true
	}
	if text := r.String("share", ""); r.Has("share") {
		s.Share = p.share(r, "share", text)
	}
	for _, item := range r.List("classes") {
		if class, ok := p.class(r, item); ok {
			s.Classes = append(s.Classes, class)
		}
	}
	for _, item := range r.List("repeatable") {
		method, prefix, _ := strings.Cut(item, " ")
		s.RepeatableRoutes = append(s.RepeatableRoutes, fleet.Route{Method: method, Prefix: strings.TrimSpace(prefix)})
	}
	p.document.Services = append(p.document.Services, s)
}

func (p *parser) share(r *inifile.Reader, key, text string) fleet.Share {
	share, err := fleet.ParseShare(text)
	if err != nil {
		r.Fail(key, "%s", fleet.ErrorMessage(err))
	}
	return share
}

// class parses "NAME FIRST-LAST SHARE", such as "amendment 0-1 50%".
func (p *parser) class(r *inifile.Reader, item string) (fleet.Class, bool) {
	fields := strings.Fields(item)
	if len(fields) != 3 {
		r.Fail("classes", "%q is not of the form NAME FIRST-LAST SHARE, such as amendment 0-1 50%%", item)
		return fleet.Class{}, false
	}
	first, last, _ := strings.Cut(fields[1], "-")
	most, errMost := strconv.ParseUint(first, 10, 8)
	least, errLeast := strconv.ParseUint(last, 10, 8)
	if errMost != nil || errLeast != nil {
		r.Fail("classes", "%q is not a range of urgencies such as 0-1", fields[1])
		return fleet.Class{}, false
	}
	share := p.share(r, "classes", fields[2])
	return fleet.Class{Name: fields[0], MostUrgent: uint8(most), LeastUrgent: uint8(least), Share: share}, true
}

func (p *parser) exception(r *inifile.Reader, name string) {
	e := fleet.Exception{
		Name:   name,
		Scope:  fleet.Scope(p.required(r, "scope")),
		Target: p.required(r, "target"),
		Key:    fleet.SettingKey(p.required(r, "key")),
		Value:  p.required(r, "value"),
		Reason: r.String("reason", ""),
	}
	if text := r.String("expires", ""); r.Has("expires") {
		expires, err := time.Parse(time.RFC3339, text)
		if err != nil {
			r.Fail("expires", "%q is not a time such as 2026-06-01T00:00:00Z", text)
		}
		e.ExpiresAt = expires
	}
	p.document.Exceptions = append(p.document.Exceptions, e)
}

// required returns the value of key; its absence is a finding.
func (p *parser) required(r *inifile.Reader, key string) string {
	value := r.Required(key)
	if value == "" {
		p.unusable[place{r.Section(), key}] = true
	}
	return value
}

// validate adds the problems of the document that the file makes.
func (p *parser) validate(document *fleet.Document) {
	lines := p.lines()
	for _, problem := range document.Validate() {
		if p.unusable[place{problem.Section, problem.Key}] {
			continue
		}
		line, ok := lines[place{problem.Section, problem.Key}]
		if !ok {
			line = lines[place{problem.Section, ""}]
		}
		p.found.Add(finding.Finding{
			File: p.file.Name, Line: line, Section: problem.Section, Key: problem.Key, Message: problem.Message,
		})
	}
}

func (p *parser) lines() map[place]int {
	lines := make(map[place]int)
	for _, s := range p.file.Sections {
		lines[place{s.Name, ""}] = s.Line
		for _, k := range s.Keys {
			lines[place{s.Name, k.Name}] = k.Line
		}
	}
	return lines
}
