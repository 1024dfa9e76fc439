package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"fulmarmount.org/core/view"
)

// maxProblems bounds the problems of one result, which is remembered.
const maxProblems = 100

// Machine is the replicated state. It is not safe for concurrent use; the
// documents, drains and entries that it returns are never changed afterwards.
type Machine struct {
	document *Document
	version  uint64
	revision uint64
	nextID   view.ServiceID
	drains   []Drain // by backend server
	history  *history
	answers  *answers
	index    uint64
	imported Import
	seats    map[netip.AddrPort]struct{}
}

// New returns the state of a fleet before its first command: version 0, the
// default settings and no service.
func New() *Machine {
	return &Machine{
		document: &Document{Defaults: DefaultSettings()},
		nextID:   1,
		history:  newHistory(nil),
		answers:  newAnswers(nil),
		seats:    newSeats(nil),
	}
}

// Document returns the current document. Treat it as read-only.
func (m *Machine) Document() *Document { return m.document }

// Version returns the number of the current document.
func (m *Machine) Version() uint64 { return m.version }

// Revision returns the number of the current state.
func (m *Machine) Revision() uint64 { return m.revision }

// Index returns the log index of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Drains returns the drains, sorted by backend server. Treat them as read-only.
func (m *Machine) Drains() []Drain { return m.drains }

// History returns the entries of the versions that can be returned to, the
// oldest first. Treat their content as read-only.
func (m *Machine) History() []Entry { return slices.Clone(m.history.entries) }

// At returns the document as it was at version. It is false where the version
// is to come or forgotten.
func (m *Machine) At(version uint64) (*Document, bool) {
	entries, ok := m.history.since(version, m.version)
	if !ok {
		return nil, false
	}
	undo := undoAll(entries)
	return undo.Apply(m.document), true
}

// Apply executes the command at a log index, which grows from call to call.
func (m *Machine) Apply(index uint64, c Command) Result {
	if index <= m.index {
		return m.invalid(Problem{Section: "command", Message: "log index was applied before"})
	}
	m.index = index
	m.answers.expire(index)
	c.normalize()
	if problems := c.problems(); len(problems) > 0 {
		return m.invalid(problems...)
	}
	if c.RequestID == "" {
		return m.execute(&c)
	}
	digest := c.digest()
	if first, ok := m.answers.find(c.RequestID); ok {
		if first.Digest != digest {
			return m.result(Reused)
		}
		return first.Result
	}
	result := m.execute(&c)
	m.answers.add(Answer{RequestID: c.RequestID, Digest: digest, Index: index, Result: result})
	return result
}

func (c *Command) normalize() {
	c.At = wholeSeconds(c.At)
	if c.Document != nil {
		c.Document.Normalize()
	}
	if c.Patch != nil {
		c.Patch.normalize()
	}
}

func (m *Machine) execute(c *Command) Result {
	switch c.Kind {
	case KindApply:
		return m.apply(c)
	case KindPatch:
		return m.patch(c)
	case KindRollback:
		return m.rollback(c)
	case KindImport:
		return m.importDocument(c)
	case KindSeats:
		return m.changeSeats(c.Seats)
	case KindDrain:
		return m.drain(c)
	default:
		return m.cancelDrain(c)
	}
}

func (m *Machine) apply(c *Command) Result {
	if c.Expected != m.version {
		return m.result(Conflict)
	}
	if c.Document != nil {
		return m.install(c, c.Document)
	}
	return m.install(c, c.Patch.Apply(m.document))
}

func (m *Machine) patch(c *Command) Result {
	newer, ok := m.history.since(c.Expected, m.version)
	if !ok {
		return m.result(Conflict)
	}
	for i := range newer {
		if newer[i].Undo.touches(c.Patch) {
			return m.result(Conflict)
		}
	}
	return m.install(c, c.Patch.Apply(m.document))
}

func (m *Machine) rollback(c *Command) Result {
	if c.Expected != m.version {
		return m.result(Conflict)
	}
	earlier, ok := m.At(c.Version)
	if !ok {
		return m.result(NotFound)
	}
	return m.install(c, earlier)
}

// install makes next the current document, if it is valid.
func (m *Machine) install(c *Command, next *Document) Result {
	// Listeners belong to imports; other commands leave them as they are.
	next.Listeners = m.document.Listeners
	if problems := next.Validate(); len(problems) > 0 {
		return m.invalid(problems...)
	}
	m.assignIDs(next)
	undo := Diff(next, m.document)
	m.document = next
	m.version++
	m.revision++
	m.history.add(Entry{
		Version: m.version, Kind: c.Kind, Author: c.Author, At: c.At, Comment: c.Comment, Undo: undo,
	})
	return m.result(Accepted)
}

// assignIDs gives services that exist their ID and new ones the next ID. It
// writes only what differs, since next shares unchanged items with documents
// that readers hold. Both lists are sorted by name.
func (m *Machine) assignIDs(next *Document) {
	old := m.document.Services
	for i := range next.Services {
		s := &next.Services[i]
		for len(old) > 0 && old[0].Name < s.Name {
			old = old[1:]
		}
		switch {
		case len(old) == 0 || old[0].Name != s.Name:
			s.ID = m.nextID
			m.nextID++
		case s.ID != old[0].ID:
			s.ID = old[0].ID
		}
	}
}

func (m *Machine) findDrain(backendServer string) (int, bool) {
	return slices.BinarySearchFunc(m.drains, backendServer, func(d Drain, name string) int {
		return cmp.Compare(d.BackendServer, name)
	})
}

// drain adds a drain. One that exists stays as it is and is accepted.
func (m *Machine) drain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if ok {
		return m.result(Accepted)
	}
	if len(m.drains) >= maxDrains {
		return m.invalid(Problem{Section: "command", Key: "backend_server", Message: "too many drains; cancel those that have ended"})
	}
	drain := Drain{BackendServer: c.BackendServer, Author: c.Author, At: c.At, Comment: c.Comment}
	m.drains = slices.Insert(slices.Clone(m.drains), i, drain)
	m.revision++
	return m.result(Accepted)
}

func (m *Machine) cancelDrain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if !ok {
		return m.result(NotFound)
	}
	m.drains = slices.Delete(slices.Clone(m.drains), i, i+1)
	m.revision++
	return m.result(Accepted)
}

func (m *Machine) result(outcome Outcome) Result {
	return Result{Outcome: outcome, Version: m.version, Revision: m.revision}
}

func (m *Machine) invalid(problems ...Problem) Result {
	result := m.result(Invalid)
	result.Problems = problems[:min(len(problems), maxProblems)]
	return result
}
