// Package fleet holds the durable state of a fleet: its services, the
// fleet-wide defaults, the exceptions with their reasons, and the drains that
// operators ask for. Machine is the replicated state machine over it: equal
// commands in equal order give equal states and results on every replica.
package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// Mode is how a service's traffic is carried.
type Mode string

// The modes of a service.
const (
	// ModePacket forwards UDP datagrams; each flow stays on one backend server.
	ModePacket Mode = "packet"
	// ModeStream forwards TCP connections.
	ModeStream Mode = "stream"
	// ModeRequest carries HTTP requests, each with an outcome of its own.
	ModeRequest Mode = "request"
	// ModeSegment forwards packets that name their flow themselves. Callers reach
	// the service through listeners.
	ModeSegment Mode = "segment"
)

// Document is what operators write. Services and Exceptions are sorted by
// name. Treat a document that a Machine returned as read-only.
type Document struct {
	Defaults   Settings    `cbor:"1,keyasint" json:"defaults"`
	Services   []Service   `cbor:"2,keyasint" json:"services"`
	Exceptions []Exception `cbor:"3,keyasint" json:"exceptions"`
	// Listeners are sorted by address. Imports set them.
	Listeners []Listener `cbor:"4,keyasint,omitempty" json:"listeners,omitempty"`
}

// Service is one service of the fleet.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// ID is assigned by the Machine and never reused, also after the service
	// is deleted and made again.
	ID view.ServiceID `cbor:"2,keyasint" json:"id"`
	// Addresses are where callers reach the service. No two services share one.
	Addresses []netip.AddrPort `cbor:"3,keyasint" json:"addresses"`
	Mode      Mode             `cbor:"4,keyasint" json:"mode"`
	// Share is the part of every shared resource that is reserved for the
	// service. Services without one split what is not reserved.
	Share Share `cbor:"5,keyasint" json:"share"`
	// Classes divide the service's share by urgency.
	Classes []Class `cbor:"6,keyasint" json:"classes,omitempty"`
	// RepeatableRoutes lists the requests that may run more than once.
	RepeatableRoutes []Route `cbor:"7,keyasint" json:"repeatable,omitempty"`
}

// Class is the requests of a service within a range of urgencies.
type Class struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// MostUrgent and LeastUrgent bound the urgencies of the class, as in the
	// Priority header field (RFC 9218, section 4.1): 0 is the most urgent and
	// MaxUrgency the least.
	MostUrgent  uint8 `cbor:"2,keyasint" json:"most_urgent"`
	LeastUrgent uint8 `cbor:"3,keyasint" json:"least_urgent"`
	// Share is the part of the service's share that is reserved for the class.
	Share Share `cbor:"4,keyasint" json:"share"`
}

// MaxUrgency is the least urgent value of the Priority header field.
const MaxUrgency = 7

// Route matches requests by method and path prefix.
type Route struct {
	Method string `cbor:"1,keyasint" json:"method"`
	Prefix string `cbor:"2,keyasint" json:"prefix"`
}

// Scope is what an exception applies to.
type Scope string

// The scopes, from the widest to the narrowest. The narrower one wins.
const (
	ScopeZone          Scope = "zone"
	ScopeService       Scope = "service"
	ScopeBackendServer Scope = "backend_server"
)

// Exception overrides one default for one zone, service or backend server.
type Exception struct {
	Name   string     `cbor:"1,keyasint" json:"name"`
	Scope  Scope      `cbor:"2,keyasint" json:"scope"`
	Target string     `cbor:"3,keyasint" json:"target"`
	Key    SettingKey `cbor:"4,keyasint" json:"key"`
	// Value is written as in the defaults.
	Value string `cbor:"5,keyasint" json:"value"`
	// Reason says why, in the operator's words. It is mandatory.
	Reason string `cbor:"6,keyasint" json:"reason"`
	// ExpiresAt ends the exception; the zero time stands for never.
	ExpiresAt time.Time `cbor:"7,keyasint" json:"expires,omitzero"`
}

// Expired reports whether the exception has ended at now.
func (e *Exception) Expired(now time.Time) bool {
	return !e.ExpiresAt.IsZero() && !e.ExpiresAt.After(now)
}

// Normalize sorts the document and drops empty slices, so that equal documents
// compare equal. Times lose what the snapshot would not keep.
func (d *Document) Normalize() {
	slices.SortStableFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Exceptions, func(a, b Exception) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(d.Listeners, func(a, b Listener) int { return a.Address.Compare(b.Address) })
	d.Listeners = nonEmpty(d.Listeners)
	d.Services = nonEmpty(d.Services)
	d.Exceptions = nonEmpty(d.Exceptions)
	for i := range d.Services {
		d.Services[i].normalize()
	}
	for i := range d.Exceptions {
		d.Exceptions[i].ExpiresAt = wholeSeconds(d.Exceptions[i].ExpiresAt)
	}
}

func (s *Service) normalize() {
	s.Addresses = nonEmpty(s.Addresses)
	s.Classes = nonEmpty(s.Classes)
	s.RepeatableRoutes = nonEmpty(s.RepeatableRoutes)
}

func nonEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// wholeSeconds drops the fraction, the zone and the monotonic reading.
func wholeSeconds(t time.Time) time.Time {
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

// Target names what settings are asked for. Empty names match no exception.
type Target struct {
	Service       string
	Zone          string
	BackendServer string
}

// EffectiveSettings returns the settings for a target at now: the defaults, overridden
// by the exceptions that have not expired, the narrower scope last.
func (d *Document) EffectiveSettings(target Target, now time.Time) Settings {
	settings := d.Defaults
	for _, scope := range anyScope {
		for i := range d.Exceptions {
			e := &d.Exceptions[i]
			if e.Scope == scope && target.name(scope) == e.Target && !e.Expired(now) {
				// A machine's document was validated, so the value parses.
				_ = settings.Set(e.Key, e.Value)
			}
		}
	}
	return settings
}

func (t Target) name(scope Scope) string {
	switch scope {
	case ScopeZone:
		return t.Zone
	case ScopeService:
		return t.Service
	default:
		return t.BackendServer
	}
}

// ExpiredExceptions returns the exceptions that have ended at now.
func (d *Document) ExpiredExceptions(now time.Time) []Exception {
	var expired []Exception
	for _, e := range d.Exceptions {
		if e.Expired(now) {
			expired = append(expired, e)
		}
	}
	return expired
}
