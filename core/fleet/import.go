package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Listener is an address that leads to services of mode segment.
type Listener struct {
	// Name is the operators' name of the listener.
	Name    string         `cbor:"1,keyasint" json:"name"`
	Address netip.AddrPort `cbor:"2,keyasint" json:"address"`
	// WeightedServices are the services that new flows go to, by weight.
	WeightedServices []WeightedService `cbor:"3,keyasint" json:"portions"`
	// Timeout is how long a caller waits for an answer at most.
	Timeout time.Duration `cbor:"4,keyasint" json:"timeout"`
	// LatencyObjective is the time within which an answer is of full use.
	LatencyObjective time.Duration `cbor:"5,keyasint" json:"objective"`
	// Urgency is 0 for the most urgent requests.
	Urgency uint8 `cbor:"6,keyasint" json:"urgency"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"7,keyasint" json:"idempotent"`
	// PreviousServices are services that the listener led to before and that may still hold
	// flows of it. The Machine keeps them.
	PreviousServices []string `cbor:"8,keyasint,omitempty" json:"former,omitempty"`
}

// WeightedService is a service's share of the new flows of a listener.
type WeightedService struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Weight  uint32 `cbor:"2,keyasint" json:"weight"`
}

// Import is a document that another system numbers. Of imports, the one with the
// highest number is in force, in whatever order they arrive.
type Import struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// RawDocument is the document as the other system wrote it.
	RawDocument []byte `cbor:"2,keyasint" json:"source"`
}

// ActiveImport returns the import in force; its number is 0 where there is none.
// Treat its source as read-only.
func (m *StateMachine) ActiveImport() Import { return m.imported }

// importDocument installs the document of an import that is newer than the one
// in force. An older one, or one of the same number, is accepted and changes
// nothing. Versions before an import can't be returned to.
func (m *StateMachine) importDocument(c *Command) Result {
	if c.Import.Number <= m.imported.Number {
		return m.result(OutcomeAccepted)
	}
	if problems := c.Document.Validate(); len(problems) > 0 {
		return m.invalid(problems...)
	}
	m.assignIDs(c.Document)
	keepFormer(m.document, c.Document)
	m.document = c.Document
	m.imported = *c.Import
	m.version++
	m.revision++
	m.history = newHistory(nil)
	return m.result(OutcomeAccepted)
}

// maxFormer bounds the former services of a listener.
const maxFormer = 8

// keepFormer notes in next the services that its listeners led to in before. Both
// lists are sorted by address.
func keepFormer(before, next *Document) {
	old := before.Listeners
	for i := range next.Listeners {
		l := &next.Listeners[i]
		for len(old) > 0 && old[0].Address.Compare(l.Address) < 0 {
			old = old[1:]
		}
		l.PreviousServices = nil
		if len(old) > 0 && old[0].Address == l.Address {
			l.PreviousServices = former(&old[0], l, next)
		}
	}
}

// former returns the services that before led to and next does not.
func former(before, next *Listener, d *Document) []string {
	names := make([]string, 0, len(before.WeightedServices)+len(before.PreviousServices))
	for _, p := range before.WeightedServices {
		names = append(names, p.Service)
	}
	names = append(names, before.PreviousServices...)
	names = slices.DeleteFunc(names, func(name string) bool {
		leads := func(p WeightedService) bool { return p.Service == name }
		return d.Service(name) == nil || slices.ContainsFunc(next.WeightedServices, leads)
	})
	return nonEmpty(names[:min(len(names), maxFormer)])
}

// ListenerSectionPrefix begins the section of a problem of a listener.
const ListenerSectionPrefix = "listener."

const maxListeners = 100_000

func (v *validator) listeners() {
	listeners := v.document.Listeners
	v.prefix, v.item = "", ""
	if len(listeners) > maxListeners {
		v.add("", "%d listeners are more than %d", len(listeners), maxListeners)
	}
	for i := range listeners {
		v.prefix, v.item = ListenerSectionPrefix, listeners[i].Name
		v.listener(&listeners[i])
	}
}

func (v *validator) listener(l *Listener) {
	v.address("address", ListenerSectionPrefix+l.Name, l.Address)
	if l.Timeout <= 0 {
		v.add("timeout", "%s is not positive", l.Timeout)
	}
	var total uint64
	for i, p := range l.WeightedServices {
		total += uint64(p.Weight)
		s := v.document.Service(p.Service)
		switch {
		case s == nil:
			v.add("portions", "service %q does not exist", p.Service)
		case s.Mode != ModeSegment:
			v.add("portions", "service %q is of mode %s, not %s", p.Service, s.Mode, ModeSegment)
		}
		if slices.ContainsFunc(l.WeightedServices[:i], func(o WeightedService) bool { return o.Service == p.Service }) {
			v.add("portions", "duplicate service %q", p.Service)
		}
	}
	if total == 0 {
		v.add("portions", "no service has a weight above 0")
	}
}
