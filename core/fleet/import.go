package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Listener is an address whose flows are forwarded to services of mode segment.
type Listener struct {
	// Name is the name of the listener as configured by the operators.
	Name    string         `cbor:"1,keyasint" json:"name"`
	Address netip.AddrPort `cbor:"2,keyasint" json:"address"`
	// WeightedServices are the services to which new flows are assigned, by weight.
	WeightedServices []WeightedService `cbor:"3,keyasint" json:"portions"`
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration `cbor:"4,keyasint" json:"timeout"`
	// LatencyObjective is the response time within which a response has its full
	// value for the caller.
	LatencyObjective time.Duration `cbor:"5,keyasint" json:"objective"`
	// Urgency is 0 for the most urgent requests. Values above MaxUrgency are valid and
	// as urgent as MaxUrgency, so that no import is refused for them.
	Urgency uint8 `cbor:"6,keyasint" json:"urgency"`
	// Idempotent is set if requests may be executed more than once.
	Idempotent bool `cbor:"7,keyasint" json:"idempotent"`
	// FormerNames are the names of PreviousServices in the state of earlier releases, which
	// kept no times. Normalize moves them to PreviousServices.
	FormerNames []string `cbor:"8,keyasint,omitempty" json:"-"`
	// PreviousServices are services to which the listener assigned flows earlier and
	// that may still have such flows, the latest first. The StateMachine maintains them.
	PreviousServices []PreviousService `cbor:"9,keyasint,omitempty" json:"former,omitempty"`
}

// WeightedService is a service with its weight among the services of a listener.
type WeightedService struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Weight  uint32 `cbor:"2,keyasint" json:"weight"`
}

// Import is a numbered document of another system. The import with the highest number
// is active, regardless of the order of arrival.
type Import struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// RawDocument is the document in the other system's format.
	RawDocument []byte `cbor:"2,keyasint" json:"source"`
}

// ActiveImport returns the active import. Its number is 0 if there is none. Treat its
// RawDocument as read-only.
func (m *StateMachine) ActiveImport() Import { return m.activeImport }

// importDocument installs the document of an import whose number is higher than the
// active one's. An import with a lower or the same number is accepted without effect.
// Versions before an import cannot be restored.
func (m *StateMachine) importDocument(c *Command) Result {
	if c.Import.Number <= m.activeImport.Number {
		return m.newResult(OutcomeAccepted)
	}
	if problems := c.Document.Validate(); len(problems) > 0 {
		return m.invalidResult(problems...)
	}
	m.assignIDs(c.Document)
	recordPreviousServices(m.document, c.Document, c.ProposedAt)
	retireServices(m.document, c.Document, c.ProposedAt)
	m.document = c.Document
	m.activeImport = *c.Import
	m.version++
	m.revision++
	m.history = newHistory(nil)
	return m.newResult(OutcomeAccepted)
}

// ListenerSectionPrefix is the prefix of the section of a problem of a listener.
const ListenerSectionPrefix = "listener."

const maxListeners = 100_000

func (v *validator) checkListeners() {
	listeners := v.document.Listeners
	v.sectionPrefix, v.itemName = "", ""
	if len(listeners) > maxListeners {
		v.report("", "%d listeners are more than %d", len(listeners), maxListeners)
	}
	for i := range listeners {
		v.sectionPrefix, v.itemName = ListenerSectionPrefix, listeners[i].Name
		v.checkListener(&listeners[i])
	}
}

func (v *validator) checkListener(l *Listener) {
	v.checkAddress("address", ListenerSectionPrefix+l.Name, l.Address)
	if l.Timeout <= 0 {
		v.report("timeout", "%s is not positive", l.Timeout)
	}
	var total uint64
	for i, w := range l.WeightedServices {
		total += uint64(w.Weight)
		s := v.document.Service(w.Service)
		switch {
		case s == nil:
			v.report("portions", "service %q does not exist", w.Service)
		case s.Mode != ModeSegment:
			v.report("portions", "service %q is of mode %s, not %s", w.Service, s.Mode, ModeSegment)
		}
		if slices.ContainsFunc(l.WeightedServices[:i], func(o WeightedService) bool { return o.Service == w.Service }) {
			v.report("portions", "duplicate service %q", w.Service)
		}
	}
	if total == 0 {
		v.report("portions", "no service has a weight above 0")
	}
}
