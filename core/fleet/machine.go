package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"fulmarmount.org/core/view"
)

// maxProblems bounds the problems of one result, which is remembered.
const maxProblems = 100

// StateMachine is the replicated state. It is not safe for concurrent use; the
// documents, drains and entries that it returns are never changed afterwards.
type StateMachine struct {
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
func New() *StateMachine {
	return &StateMachine{
		document: &Document{Defaults: DefaultSettings()},
		nextID:   1,
		history:  newHistory(nil),
		answers:  newAnswers(nil),
		seats:    newSeats(nil),
	}
}

// Document returns the current document. Treat it as read-only.
func (m *StateMachine) Document() *Document { return m.document }

// Version returns the number of the current document.
func (m *StateMachine) Version() uint64 { return m.version }

// Revision returns the number of the current state.
func (m *StateMachine) Revision() uint64 { return m.revision }

// Index returns the log index of the last command.
func (m *StateMachine) Index() uint64 { return m.index }

// Drains returns the drains, sorted by backend server. Treat them as read-only.
func (m *StateMachine) Drains() []Drain { return m.drains }

// History returns the entries of the versions that can be returned to, the
// oldest first. Treat their content as read-only.
func (m *StateMachine) History() []HistoryEntry { return slices.Clone(m.history.entries) }

// DocumentAt returns the document as it was at version. It is false where the version
// is to come or forgotten.
func (m *StateMachine) DocumentAt(version uint64) (*Document, bool) {
	entries, ok := m.history.since(version, m.version)
	if !ok {
		return nil, false
	}
	undo := undoAll(entries)
	return undo.Apply(m.document), true
}

// Apply executes the command at a log index, which grows from call to call.
func (m *StateMachine) Apply(index uint64, c Command) Result {
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
			return m.result(OutcomeRequestIDReused)
		}
		return first.Result
	}
	result := m.execute(&c)
	m.answers.add(CachedResult{RequestID: c.RequestID, Digest: digest, Index: index, Result: result})
	return result
}

func (c *Command) normalize() {
	c.ProposedAt = wholeSeconds(c.ProposedAt)
	if c.Document != nil {
		c.Document.Normalize()
	}
	if c.Patch != nil {
		c.Patch.normalize()
	}
}

func (m *StateMachine) execute(c *Command) Result {
	switch c.Kind {
	case KindApply:
		return m.apply(c)
	case KindPatch:
		return m.patch(c)
	case KindRollback:
		return m.rollback(c)
	case KindImport:
		return m.importDocument(c)
	case KindRegistrations:
		return m.changeSeats(c.Registrations)
	case KindDrain:
		return m.drain(c)
	default:
		return m.cancelDrain(c)
	}
}

func (m *StateMachine) apply(c *Command) Result {
	if c.ExpectedVersion != m.version {
		return m.result(OutcomeConflict)
	}
	if c.Document != nil {
		return m.install(c, c.Document)
	}
	return m.install(c, c.Patch.Apply(m.document))
}

func (m *StateMachine) patch(c *Command) Result {
	newer, ok := m.history.since(c.ExpectedVersion, m.version)
	if !ok {
		return m.result(OutcomeConflict)
	}
	for i := range newer {
		if newer[i].Undo.touches(c.Patch) {
			return m.result(OutcomeConflict)
		}
	}
	return m.install(c, c.Patch.Apply(m.document))
}

func (m *StateMachine) rollback(c *Command) Result {
	if c.ExpectedVersion != m.version {
		return m.result(OutcomeConflict)
	}
	earlier, ok := m.DocumentAt(c.RollbackVersion)
	if !ok {
		return m.result(OutcomeNotFound)
	}
	return m.install(c, earlier)
}

// install makes next the current document, if it is valid.
func (m *StateMachine) install(c *Command, next *Document) Result {
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
	m.history.add(HistoryEntry{
		Version: m.version, Kind: c.Kind, Author: c.Author, ProposedAt: c.ProposedAt, Comment: c.Comment, Undo: undo,
	})
	return m.result(OutcomeAccepted)
}

// assignIDs gives services that exist their ID and new ones the next ID. It
// writes only what differs, since next shares unchanged items with documents
// that readers hold. Both lists are sorted by name.
func (m *StateMachine) assignIDs(next *Document) {
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

func (m *StateMachine) findDrain(backendServer string) (int, bool) {
	return slices.BinarySearchFunc(m.drains, backendServer, func(d Drain, name string) int {
		return cmp.Compare(d.BackendServer, name)
	})
}

// drain adds a drain. One that exists stays as it is and is accepted.
func (m *StateMachine) drain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if ok {
		return m.result(OutcomeAccepted)
	}
	if len(m.drains) >= maxDrains {
		return m.invalid(Problem{Section: "command", Key: "backend_server", Message: "too many drains; cancel those that have ended"})
	}
	drain := Drain{BackendServer: c.BackendServer, Author: c.Author, ProposedAt: c.ProposedAt, Comment: c.Comment}
	m.drains = slices.Insert(slices.Clone(m.drains), i, drain)
	m.revision++
	return m.result(OutcomeAccepted)
}

func (m *StateMachine) cancelDrain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if !ok {
		return m.result(OutcomeNotFound)
	}
	m.drains = slices.Delete(slices.Clone(m.drains), i, i+1)
	m.revision++
	return m.result(OutcomeAccepted)
}

func (m *StateMachine) result(outcome Outcome) Result {
	return Result{Outcome: outcome, Version: m.version, Revision: m.revision}
}

func (m *StateMachine) invalid(problems ...Problem) Result {
	result := m.result(OutcomeInvalid)
	result.Problems = problems[:min(len(problems), maxProblems)]
	return result
}
