package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Problem is a validation error of a document or a command. For a document, Section and
// Key identify its place in the fleet file: Section is "defaults", "service.NAME",
// "exception.NAME" or "listener.NAME".
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

// Sections of problems and of the fleet file, or their prefixes.
const (
	SectionDefaults        = "defaults"
	ServiceSectionPrefix   = "service."
	ExceptionSectionPrefix = "exception."
)

// Limits of a document.
const (
	maxServices     = 100_000
	maxExceptions   = 1_000
	maxAddresses    = 1_000 // of one service
	maxRoutes       = 1_000 // of one service
	maxNameLength   = 63    // bytes
	maxReasonLength = 1_000 // bytes
	minReasonLength = 10    // bytes; enough for two words
)

// Validate returns every problem of the document, or nil.
func (d *Document) Validate() []Problem {
	v := &validator{document: d, addressSections: make(map[netip.AddrPort]string, len(d.Services)+len(d.Listeners))}
	v.checkDefaults()
	v.checkServices()
	v.checkExceptions()
	v.checkListeners()
	return v.problems
}

type validator struct {
	document *Document
	// addressSections maps each address to the first section that uses it.
	addressSections map[netip.AddrPort]string
	// sectionPrefix and itemName form the section of the problems that are reported next.
	sectionPrefix, itemName string
	problems                []Problem
}

func (v *validator) report(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{Section: v.sectionPrefix + v.itemName, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkDefaults() {
	v.sectionPrefix, v.itemName = SectionDefaults, ""
	for i := range settingSpecs {
		spec := &settingSpecs[i]
		if err := spec.check(spec.load(&v.document.Defaults)); err != nil {
			v.report(string(spec.key), "%s", ErrorMessage(err))
		}
	}
}

func (v *validator) checkServices() {
	services := v.document.Services
	v.sectionPrefix, v.itemName = "", ""
	if len(services) > maxServices {
		v.report("", "%d services are more than %d", len(services), maxServices)
	}
	var reserved uint64
	exceeded := false
	for i := range services {
		s := &services[i]
		v.sectionPrefix, v.itemName = ServiceSectionPrefix, s.Name
		if i > 0 && services[i-1].Name >= s.Name {
			v.report("", "duplicate service, or services not sorted by name")
		}
		v.checkService(s)
		reserved += uint64(s.Share)
		if !exceeded && reserved > uint64(FullShare) {
			exceeded = true
			v.report("share", "shares of the services up to this one exceed 100%%")
		}
	}
}

func (v *validator) checkService(s *Service) {
	v.checkName("", s.Name)
	if !slices.Contains([]Mode{ModePacket, ModeStream, ModeRequest, ModeSegment}, s.Mode) {
		v.report("mode", "%q is none of packet, stream, request, segment", s.Mode)
	}
	if s.Mode == ModeSegment && len(s.Addresses) > 0 {
		v.report("addresses", "a service of mode segment is reached through listeners")
	}
	if s.Mode != ModeSegment && len(s.Addresses) == 0 || len(s.Addresses) > maxAddresses {
		v.report("addresses", "%d addresses are not between 1 and %d", len(s.Addresses), maxAddresses)
	}
	for _, addr := range s.Addresses {
		v.checkAddress("addresses", ServiceSectionPrefix+s.Name, addr)
	}
	if s.Share > FullShare {
		v.report("share", "%s is more than 100%%", s.Share)
	}
	v.checkClasses(s.Classes)
	v.checkRoutes(s)
}

func (v *validator) checkAddress(key, section string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		v.report(key, "%q is not an IP address with a port that callers can reach", addr)
		return
	}
	if other, ok := v.addressSections[addr]; ok {
		v.report(key, "duplicate address %s, also of [%s]", addr, other)
		return
	}
	v.addressSections[addr] = section
}

func (v *validator) checkClasses(classes []Class) {
	var reserved uint64
	for i, c := range classes {
		v.checkName("classes", c.Name)
		if c.MostUrgent > c.LeastUrgent || c.LeastUrgent > MaxUrgency {
			v.report("classes", "class %q: urgencies %d to %d are not a range within 0 to %d",
				c.Name, c.MostUrgent, c.LeastUrgent, MaxUrgency)
		}
		for _, other := range classes[:i] {
			if other.Name == c.Name {
				v.report("classes", "duplicate class %q", c.Name)
			}
			if c.MostUrgent <= other.LeastUrgent && other.MostUrgent <= c.LeastUrgent {
				v.report("classes", "classes %q and %q overlap in their urgencies", other.Name, c.Name)
			}
		}
		reserved += uint64(c.Share)
	}
	if reserved > uint64(FullShare) {
		v.report("classes", "shares of the classes exceed 100%%")
	}
}

func (v *validator) checkRoutes(s *Service) {
	if len(s.RepeatableRoutes) > 0 && s.Mode != ModeRequest {
		v.report("repeatable", "only services of mode request have repeatable requests")
	}
	if len(s.RepeatableRoutes) > maxRoutes {
		v.report("repeatable", "%d routes are more than %d", len(s.RepeatableRoutes), maxRoutes)
	}
	for i, route := range s.RepeatableRoutes {
		if !validMethod(route.Method) {
			v.report("repeatable", "%q is not an upper-case method", route.Method)
		}
		if !validPath(route.Prefix) {
			v.report("repeatable", "%q is not a path without spaces, commas and control characters", route.Prefix)
		}
		if slices.Contains(s.RepeatableRoutes[:i], route) {
			v.report("repeatable", "duplicate route %s %s", route.Method, route.Prefix)
		}
	}
}

func validMethod(method string) bool {
	isUpper := func(r rune) bool { return r >= 'A' && r <= 'Z' }
	return method != "" && strings.IndexFunc(method, func(r rune) bool { return !isUpper(r) }) < 0
}

func validPath(path string) bool {
	isForbidden := func(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f || r > 0x7f }
	return strings.HasPrefix(path, "/") && strings.IndexFunc(path, isForbidden) < 0
}

func (v *validator) checkExceptions() {
	exceptions := v.document.Exceptions
	v.sectionPrefix, v.itemName = "", ""
	if len(exceptions) > maxExceptions {
		v.report("", "%d exceptions are more than %d", len(exceptions), maxExceptions)
	}
	overrides := make(map[override]string, len(exceptions))
	for i := range exceptions {
		e := &exceptions[i]
		v.sectionPrefix, v.itemName = ExceptionSectionPrefix, e.Name
		if i > 0 && exceptions[i-1].Name >= e.Name {
			v.report("", "duplicate exception, or exceptions not sorted by name")
		}
		v.checkException(e)
		o := override{e.Scope, e.Target, e.Key}
		if other, ok := overrides[o]; ok {
			v.report("key", "exception %q already sets %s of %s %q", other, e.Key, e.Scope, e.Target)
			continue
		}
		overrides[o] = e.Name
	}
}

// override identifies the setting and target that an exception overrides.
type override struct {
	scope  Scope
	target string
	key    SettingKey
}

func (v *validator) checkException(e *Exception) {
	v.checkName("", e.Name)
	switch {
	case !slices.Contains(allScopes, e.Scope):
		v.report("scope", "%q is none of zone, service, backend_server", e.Scope)
	case e.Scope == ScopeService && v.document.Service(e.Target) == nil:
		v.report("target", "service %q does not exist", e.Target)
	default:
		v.checkName("target", e.Target)
	}
	v.checkReason(e.Reason)
	spec := findSetting(e.Key)
	if spec == nil {
		v.report("key", "%q is none of %s", e.Key, joinSettingKeys())
		return
	}
	if slices.Contains(allScopes, e.Scope) && !slices.Contains(spec.scopes, e.Scope) {
		v.report("scope", "%s cannot be set for one %s", e.Key, e.Scope)
	}
	if _, err := spec.parse(e.Value); err != nil {
		v.report("value", "%s", ErrorMessage(err))
	}
}

func (v *validator) checkReason(reason string) {
	if message := reasonProblem(reason); message != "" {
		v.report("reason", "%s", message)
	}
}

// reasonProblem returns what is wrong with an operator's written reason, or "".
func reasonProblem(reason string) string {
	switch {
	case strings.TrimSpace(reason) == "":
		return "a written reason is required"
	case strings.TrimSpace(reason) != reason || strings.ContainsAny(reason, "\r\n"):
		return "the reason is not one line without spaces around it"
	case len(reason) < minReasonLength:
		return fmt.Sprintf("%q is shorter than %d bytes; say why", reason, minReasonLength)
	case len(reason) > maxReasonLength:
		return fmt.Sprintf("the reason is longer than %d bytes", maxReasonLength)
	}
	return ""
}

func (v *validator) checkName(key, name string) {
	if !ValidName(name) {
		v.report(key, "%q is not a name of lower-case letters, digits, '.' and '-'", name)
	}
}

// ValidName reports whether name consists of 1 to 63 lower-case letters, digits, dots
// and dashes, and begins and ends with a letter or digit.
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

func joinSettingKeys() string {
	names := make([]string, len(settingSpecs))
	for i := range settingSpecs {
		names[i] = string(settingSpecs[i].key)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(names, ", ")
}

// ErrorMessage returns the message of an error of this package without its type.
func ErrorMessage(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
