// Package fleet implements the replicated configuration of a fleet: its services,
// the fleet-wide default settings, the exceptions to them, and the drains requested
// by operators. StateMachine is deterministic: the same commands in the same order
// produce the same state and results on every replica.
package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// Mode determines how a service's traffic is forwarded.
type Mode string

// The modes of a service.
const (
	// ModePacket forwards UDP datagrams; each flow stays on one backend server.
	ModePacket Mode = "packet"
	// ModeStream forwards TCP connections.
	ModeStream Mode = "stream"
	// ModeRequest forwards HTTP requests, each with its own outcome.
	ModeRequest Mode = "request"
	// ModeSegment forwards packets that carry a flow identifier. Callers reach the
	// service through listeners.
	ModeSegment Mode = "segment"
)

// Document is the configuration that operators write. Services and Exceptions are
// sorted by name. Documents returned by a StateMachine are read-only.
type Document struct {
	Defaults   Settings    `cbor:"1,keyasint" json:"defaults"`
	Services   []Service   `cbor:"2,keyasint" json:"services"`
	Exceptions []Exception `cbor:"3,keyasint" json:"exceptions"`
	// Listeners are sorted by address. Only imports set them.
	Listeners []Listener `cbor:"4,keyasint,omitempty" json:"listeners,omitempty"`
	// RetiredServices are sorted by name. The StateMachine maintains them.
	RetiredServices []RetiredService `cbor:"5,keyasint,omitempty" json:"retired,omitempty"`
}

// Service is the configuration of one service.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// ID is assigned by the StateMachine and never reused. A service that is deleted
	// and created again gets a new ID, unless it was retired meanwhile.
	ID view.ServiceID `cbor:"2,keyasint" json:"id"`
	// Addresses are the addresses at which callers reach the service. Each address
	// belongs to one service.
	Addresses []netip.AddrPort `cbor:"3,keyasint" json:"addresses"`
	Mode      Mode             `cbor:"4,keyasint" json:"mode"`
	// Share is the fraction of every shared resource that is reserved for the
	// service. Services without a share split the unreserved fraction.
	Share Share `cbor:"5,keyasint" json:"share"`
	// Classes divide the service's share by urgency.
	Classes []Class `cbor:"6,keyasint" json:"classes,omitempty"`
	// RepeatableRoutes match the requests that may be executed more than once.
	RepeatableRoutes []Route `cbor:"7,keyasint" json:"repeatable,omitempty"`
}

// Class groups the requests of a service within a range of urgencies.
type Class struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// MostUrgent and LeastUrgent are the bounds of the urgencies of the class, as in
	// the Priority header field (RFC 9218, section 4.1): 0 is the most urgent and
	// MaxUrgency the least urgent value.
	MostUrgent  uint8 `cbor:"2,keyasint" json:"most_urgent"`
	LeastUrgent uint8 `cbor:"3,keyasint" json:"least_urgent"`
	// Share is the fraction of the service's share that is reserved for the class.
	Share Share `cbor:"4,keyasint" json:"share"`
}

// MaxUrgency is the greatest, and thus least urgent, urgency of the Priority header
// field.
const MaxUrgency = 7

// Route matches requests by method and path prefix.
type Route struct {
	Method string `cbor:"1,keyasint" json:"method"`
	Prefix string `cbor:"2,keyasint" json:"prefix"`
}

// Scope is the type of target that an exception applies to.
type Scope string

// The scopes, from the widest to the narrowest. Narrower scopes take precedence.
const (
	ScopeZone          Scope = "zone"
	ScopeService       Scope = "service"
	ScopeBackendServer Scope = "backend_server"
)

// Exception overrides one default setting for one zone, service or backend server.
type Exception struct {
	Name   string     `cbor:"1,keyasint" json:"name"`
	Scope  Scope      `cbor:"2,keyasint" json:"scope"`
	Target string     `cbor:"3,keyasint" json:"target"`
	Key    SettingKey `cbor:"4,keyasint" json:"key"`
	// Value has the same format as in the defaults.
	Value string `cbor:"5,keyasint" json:"value"`
	// Reason is the operator's explanation. It is mandatory.
	Reason string `cbor:"6,keyasint" json:"reason"`
	// ExpiresAt is the time at which the exception expires. An exception with the
	// zero time never expires.
	ExpiresAt time.Time `cbor:"7,keyasint" json:"expires,omitzero"`
}

// Expired reports whether the exception has expired at time now.
func (e *Exception) Expired(now time.Time) bool {
	return !e.ExpiresAt.IsZero() && !e.ExpiresAt.After(now)
}

// Normalize sorts the document and replaces empty slices by nil, so that equal
// documents compare equal. It truncates times to seconds, as an encoded snapshot does.
func (d *Document) Normalize() {
	slices.SortStableFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Exceptions, func(a, b Exception) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Listeners, func(a, b Listener) int { return a.Address.Compare(b.Address) })
	d.Listeners = nilIfEmpty(d.Listeners)
	d.Services = nilIfEmpty(d.Services)
	d.Exceptions = nilIfEmpty(d.Exceptions)
	for i := range d.Services {
		d.Services[i].normalize()
	}
	for i := range d.Exceptions {
		d.Exceptions[i].ExpiresAt = truncateToSeconds(d.Exceptions[i].ExpiresAt)
	}
	for i := range d.Listeners {
		d.Listeners[i].normalizePrevious()
	}
	d.RetiredServices = nilIfEmpty(d.RetiredServices)
	for i := range d.RetiredServices {
		d.RetiredServices[i].Service.normalize()
		d.RetiredServices[i].RetiredAt = truncateToSeconds(d.RetiredServices[i].RetiredAt)
	}
}

func (s *Service) normalize() {
	s.Addresses = nilIfEmpty(s.Addresses)
	s.Classes = nilIfEmpty(s.Classes)
	s.RepeatableRoutes = nilIfEmpty(s.RepeatableRoutes)
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// truncateToSeconds removes the fraction of a second, the time zone and the monotonic
// clock reading.
func truncateToSeconds(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return time.Unix(t.Unix(), 0).UTC()
}

// Service returns the named service, or nil.
func (d *Document) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(d.Services, name, func(s Service, name string) int {
		return cmp.Compare(s.Name, name)
	})
	if !ok {
		return nil
	}
	return &d.Services[i]
}

// Target identifies the object whose settings are queried. Empty names match no
// exception.
type Target struct {
	Service       string
	Zone          string
	BackendServer string
}

// EffectiveSettings returns the settings of a target at time now: the defaults,
// overridden by the unexpired exceptions, from the widest scope to the narrowest.
func (d *Document) EffectiveSettings(target Target, now time.Time) Settings {
	settings := d.Defaults
	for _, scope := range allScopes {
		for i := range d.Exceptions {
			e := &d.Exceptions[i]
			if e.Scope == scope && target.nameFor(scope) == e.Target && !e.Expired(now) {
				// The StateMachine validated the document, so Set cannot fail.
				_ = settings.Set(e.Key, e.Value)
			}
		}
	}
	return settings
}

func (t Target) nameFor(scope Scope) string {
	switch scope {
	case ScopeZone:
		return t.Zone
	case ScopeService:
		return t.Service
	default:
		return t.BackendServer
	}
}

// ExpiredExceptions returns the exceptions that have expired at time now.
func (d *Document) ExpiredExceptions(now time.Time) []Exception {
	var expired []Exception
	for _, e := range d.Exceptions {
		if e.Expired(now) {
			expired = append(expired, e)
		}
	}
	return expired
}
