package inifile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/finding"
)

// Reader converts the values of one section. A value that does not convert is
// a finding and yields the default. Done reports the keys nobody asked for.
type Reader struct {
	file    string
	section *Section
	found   *finding.Findings
	asked   []string
}

// NewReader returns a reader of section s of file f.
func NewReader(f *File, s *Section, found *finding.Findings) *Reader {
	return &Reader{file: f.Name, section: s, found: found}
}

// Section returns the name of the section.
func (r *Reader) Section() string { return r.section.Name }

// Has reports whether the section holds key.
func (r *Reader) Has(key string) bool { return r.find(key) != nil }

// Line returns the line of key, or the section's where it has no such key.
func (r *Reader) Line(key string) int {
	if k := r.find(key); k != nil {
		return k.Line
	}
	return r.section.Line
}

// Fail records a finding about key, or about the section where key is empty.
func (r *Reader) Fail(key, format string, args ...any) {
	r.found.Add(finding.Finding{
		File: r.file, Line: r.Line(key), Section: r.section.Name, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// String returns the value of key, or def.
func (r *Reader) String(key, def string) string {
	r.asked = append(r.asked, key)
	if k := r.find(key); k != nil {
		return k.Value
	}
	return def
}

// Required returns the value of key; its absence is a finding.
func (r *Reader) Required(key string) string {
	value := r.String(key, "")
	if value == "" {
		r.Fail(key, "a value is required")
	}
	return value
}

// Name returns a required value that is a DNS-style label sequence.
func (r *Reader) Name(key string) string {
	value := r.Required(key)
	if value != "" && !fleet.ValidName(value) {
		r.Fail(key, "%q is not a name of lower-case letters, digits, '.' and '-'", value)
	}
	return value
}

// Enum returns a value out of allowed, or def.
func (r *Reader) Enum(key, def string, allowed ...string) string {
	value := r.String(key, def)
	if !slices.Contains(allowed, value) {
		r.Fail(key, "%q is none of %s", value, strings.Join(allowed, ", "))
		return def
	}
	return value
}

// Int returns a whole number from low to high, or def.
func (r *Reader) Int(key string, def, low, high int) int {
	text := r.String(key, "")
	if text == "" && !r.Has(key) {
		return def
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		r.Fail(key, "%q is not a whole number", text)
		return def
	}
	if n < low || n > high {
		r.Fail(key, "%d is outside %d to %d", n, low, high)
		return def
	}
	return n
}

// Number returns a number from low to high, or nil if the key is missing or empty.
func (r *Reader) Number(key string, low, high float64) *float64 {
	text := r.String(key, "")
	if text == "" {
		return nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= low && n <= high) {
		r.Fail(key, "%q is not a number from %g to %g", text, low, high)
		return nil
	}
	return &n
}

// Duration returns a duration such as 250ms, 30s or 24h from low to high, or def.
func (r *Reader) Duration(key string, def, low, high time.Duration) time.Duration {
	text := r.String(key, "")
	if text == "" && !r.Has(key) {
		return def
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.Fail(key, "%q is not a duration such as 250ms, 30s or 24h", text)
		return def
	}
	if d < low || d > high {
		r.Fail(key, "%s is outside %s to %s", d, low, high)
		return def
	}
	return d
}

// List returns the items of a comma-separated value.
func (r *Reader) List(key string) []string {
	text := r.String(key, "")
	if strings.TrimSpace(text) == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
		if items[i] == "" {
			r.Fail(key, "item %d of the list is empty", i+1)
		}
	}
	return slices.DeleteFunc(items, func(s string) bool { return s == "" })
}

// Addr returns an IP address with a port, or the zero value where key is absent.
func (r *Reader) Addr(key string) netip.AddrPort {
	text := r.String(key, "")
	if text == "" && !r.Has(key) {
		return netip.AddrPort{}
	}
	return r.parseAddr(key, text)
}

// RequiredAddr returns an address; its absence is a finding.
func (r *Reader) RequiredAddr(key string) netip.AddrPort {
	text := r.Required(key)
	if text == "" {
		return netip.AddrPort{}
	}
	return r.parseAddr(key, text)
}

// Addrs returns a comma-separated list of addresses without repetition.
func (r *Reader) Addrs(key string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, text := range r.List(key) {
		addr := r.parseAddr(key, text)
		if !addr.IsValid() {
			continue
		}
		if slices.Contains(addrs, addr) {
			r.Fail(key, "duplicate address %s", addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

func (r *Reader) parseAddr(key, text string) netip.AddrPort {
	addr, err := ParseAddr(text)
	if err != nil {
		r.Fail(key, "%s", err)
	}
	return addr
}

// Done reports every key of the section that was not asked for.
func (r *Reader) Done() {
	for _, k := range r.section.Keys {
		if !slices.Contains(r.asked, k.Name) {
			r.Fail(k.Name, "unknown key")
		}
	}
}

func (r *Reader) find(key string) *Key {
	for i := range r.section.Keys {
		if r.section.Keys[i].Name == key {
			return &r.section.Keys[i]
		}
	}
	return nil
}

// ParseAddr parses an IP address with a port. Port 0 stands for a free port
// of the system's choice.
func ParseAddr(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP address with a port", text)
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), nil
}
