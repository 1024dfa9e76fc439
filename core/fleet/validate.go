package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Problem is one fault of a document. Section and Key name the place as the
// fleet file writes it: "defaults", "service.NAME" or "exception.NAME".
type Problem struct {
	Section string `cbor:"1,keyasint" json:"section,omitempty"`
	Key     string `cbor:"2,keyasint" json:"key,omitempty"`
	Message string `cbor:"3,keyasint" json:"message"`
}

// String formats the problem as [section] key: message.
func (p Problem) String() string {
	text := "[" + p.Section + "] "
	if p.Key != "" {
		text += p.Key + ": "
	}
	return text + p.Message
}

// Sections of problems and of the fleet file.
const (
	SectionDefaults        = "defaults"
	ServiceSectionPrefix   = "service."
	ExceptionSectionPrefix = "exception."
)

// Limits of a document.
const (
	maxServices   = 100_000
	maxExceptions = 1_000
	maxAddresses  = 1_000 // of one service
	maxRoutes     = 1_000 // of one service
	maxNameLength = 63    // bytes
	maxReason     = 1_000 // bytes
	minReason     = 10    // bytes; enough for two words
)

// Validate returns every problem of the document, or nil.
func (d *Document) Validate() []Problem {
	v := &validator{document: d, owners: make(map[netip.AddrPort]string, len(d.Services)+len(d.Listeners))}
	v.defaults()
	v.services()
	v.exceptions()
	v.listeners()
	return v.problems
}

type validator struct {
	document *Document
	// owners maps each address to the section that took it first.
	owners map[netip.AddrPort]string
	// prefix and item make the section of the problems found next.
	prefix, item string
	problems     []Problem
}

func (v *validator) add(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{Section: v.prefix + v.item, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) defaults() {
	v.prefix, v.item = SectionDefaults, ""
	for i := range tunables {
		t := &tunables[i]
		if err := t.check(t.load(&v.document.Defaults)); err != nil {
			v.add(string(t.key), "%s", ErrorMessage(err))
		}
	}
}

func (v *validator) services() {
	services := v.document.Services
	v.prefix, v.item = "", ""
	if len(services) > maxServices {
		v.add("", "%d services are more than %d", len(services), maxServices)
	}
	var reserved uint64
	over := false
	for i := range services {
		s := &services[i]
		v.prefix, v.item = ServiceSectionPrefix, s.Name
		if i > 0 && services[i-1].Name >= s.Name {
			v.add("", "duplicate service, or services not sorted by name")
		}
		v.service(s)
		reserved += uint64(s.Share)
		if !over && reserved > uint64(FullShare) {
			over = true
			v.add("share", "shares of the services up to this one exceed 100%%")
		}
	}
}

func (v *validator) service(s *Service) {
	v.name("", s.Name)
	if !slices.Contains([]Mode{ModePacket, ModeStream, ModeRequest, ModeSegment}, s.Mode) {
		v.add("mode", "%q is none of packet, stream, request, segment", s.Mode)
	}
	if s.Mode == ModeSegment && len(s.Addresses) > 0 {
		v.add("addresses", "a service of mode segment is reached through listeners")
	}
	if s.Mode != ModeSegment && len(s.Addresses) == 0 || len(s.Addresses) > maxAddresses {
		v.add("addresses", "%d addresses are not between 1 and %d", len(s.Addresses), maxAddresses)
	}
	for _, addr := range s.Addresses {
		v.address("addresses", ServiceSectionPrefix+s.Name, addr)
	}
	if s.Share > FullShare {
		v.add("share", "%s is more than 100%%", s.Share)
	}
	v.classes(s.Classes)
	v.routes(s)
}

func (v *validator) address(key, section string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		v.add(key, "%q is not an IP address with a port that callers can reach", addr)
		return
	}
	if owner, ok := v.owners[addr]; ok {
		v.add(key, "duplicate address %s, also of [%s]", addr, owner)
		return
	}
	v.owners[addr] = section
}

func (v *validator) classes(classes []Class) {
	var reserved uint64
	for i, c := range classes {
		v.name("classes", c.Name)
		if c.MostUrgent > c.LeastUrgent || c.LeastUrgent > MaxUrgency {
			v.add("classes", "class %q: urgencies %d to %d are not a range within 0 to %d",
				c.Name, c.MostUrgent, c.LeastUrgent, MaxUrgency)
		}
		for _, other := range classes[:i] {
			if other.Name == c.Name {
				v.add("classes", "duplicate class %q", c.Name)
			}
			if c.MostUrgent <= other.LeastUrgent && other.MostUrgent <= c.LeastUrgent {
				v.add("classes", "classes %q and %q overlap in their urgencies", other.Name, c.Name)
			}
		}
		reserved += uint64(c.Share)
	}
	if reserved > uint64(FullShare) {
		v.add("classes", "shares of the classes exceed 100%%")
	}
}

func (v *validator) routes(s *Service) {
	if len(s.RepeatableRoutes) > 0 && s.Mode != ModeRequest {
		v.add("repeatable", "only services of mode request have repeatable requests")
	}
	if len(s.RepeatableRoutes) > maxRoutes {
		v.add("repeatable", "%d routes are more than %d", len(s.RepeatableRoutes), maxRoutes)
	}
	for i, route := range s.RepeatableRoutes {
		if !validMethod(route.Method) {
			v.add("repeatable", "%q is not an upper-case method", route.Method)
		}
		if !validPath(route.Prefix) {
			v.add("repeatable", "%q is not a path without spaces, commas and control characters", route.Prefix)
		}
		if slices.Contains(s.RepeatableRoutes[:i], route) {
			v.add("repeatable", "duplicate route %s %s", route.Method, route.Prefix)
		}
	}
}

func validMethod(method string) bool {
	upper := func(r rune) bool { return r >= 'A' && r <= 'Z' }
	return method != "" && strings.IndexFunc(method, func(r rune) bool { return !upper(r) }) < 0
}

func validPath(path string) bool {
	refused := func(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f || r > 0x7f }
	return strings.HasPrefix(path, "/") && strings.IndexFunc(path, refused) < 0
}

func (v *validator) exceptions() {
	exceptions := v.document.Exceptions
	v.prefix, v.item = "", ""
	if len(exceptions) > maxExceptions {
		v.add("", "%d exceptions are more than %d", len(exceptions), maxExceptions)
	}
	taken := make(map[override]string, len(exceptions))
	for i := range exceptions {
		e := &exceptions[i]
		v.prefix, v.item = ExceptionSectionPrefix, e.Name
		if i > 0 && exceptions[i-1].Name >= e.Name {
			v.add("", "duplicate exception, or exceptions not sorted by name")
		}
		v.exception(e)
		o := override{e.Scope, e.Target, e.Key}
		if other, ok := taken[o]; ok {
			v.add("key", "exception %q already sets %s of %s %q", other, e.Key, e.Scope, e.Target)
			continue
		}
		taken[o] = e.Name
	}
}

// override identifies what an exception sets.
type override struct {
	scope  Scope
	target string
	key    SettingKey
}

func (v *validator) exception(e *Exception) {
	v.name("", e.Name)
	switch {
	case !slices.Contains(anyScope, e.Scope):
		v.add("scope", "%q is none of zone, service, backend_server", e.Scope)
	case e.Scope == ScopeService && v.document.Service(e.Target) == nil:
		v.add("target", "service %q does not exist", e.Target)
	default:
		v.name("target", e.Target)
	}
	v.reason(e.Reason)
	t := findTunable(e.Key)
	if t == nil {
		v.add("key", "%q is none of %s", e.Key, joinKeys())
		return
	}
	if slices.Contains(anyScope, e.Scope) && !slices.Contains(t.scopes, e.Scope) {
		v.add("scope", "%s cannot be set for one %s", e.Key, e.Scope)
	}
	if _, err := t.parse(e.Value); err != nil {
		v.add("value", "%s", ErrorMessage(err))
	}
}

func (v *validator) reason(reason string) {
	switch {
	case strings.TrimSpace(reason) == "":
		v.add("reason", "a written reason is required")
	case strings.TrimSpace(reason) != reason || strings.ContainsAny(reason, "\r\n"):
		v.add("reason", "the reason is not one line without spaces around it")
	case len(reason) < minReason:
		v.add("reason", "%q is shorter than %d bytes; say why", reason, minReason)
	case len(reason) > maxReason:
		v.add("reason", "the reason is longer than %d bytes", maxReason)
	}
}

func (v *validator) name(key, name string) {
	if !ValidName(name) {
		v.add(key, "%q is not a name of lower-case letters, digits, '.' and '-'", name)
	}
}

// ValidName reports whether name has 1 to 63 lower-case letters, digits, dots
// and dashes, a letter or digit at either end.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		inner := i > 0 && i < len(name)-1
		if !alphanumeric && (!inner || c != '.' && c != '-') {
			return false
		}
	}
	return true
}

func joinKeys() string {
	names := make([]string, len(tunables))
	for i := range tunables {
		names[i] = string(tunables[i].key)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(names, ", ")
}

// ErrorMessage returns the text of an error of this package without its type.
func ErrorMessage(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
