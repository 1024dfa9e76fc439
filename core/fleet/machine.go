package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"fulmarmount.org/core/view"
)

// maxProblems limits the problems of a result, since results are cached.
const maxProblems = 100

// StateMachine is the replicated state machine of the fleet's configuration. It is not
// safe for concurrent use. It never modifies the documents, drains, evacuations and
// history entries that it has returned.
type StateMachine struct {
	document         *Document
	version          uint64
	revision         uint64
	nextServiceID    view.ServiceID
	drains           []Drain // sorted by backend server
	evacuations      evacuations
	history          *history
	resultCache      *resultCache
	lastIndex        uint64
	activeImport     Import
	registeredAgents map[netip.AddrPort]struct{}
}

// New returns the state machine of a new fleet with version 0, the default settings
// and no services.
func New() *StateMachine {
	return &StateMachine{
		document:         &Document{Defaults: DefaultSettings()},
		nextServiceID:    1,
		history:          newHistory(nil),
		resultCache:      newResultCache(nil),
		registeredAgents: newRegisteredAgents(nil),
	}
}

// Document returns the current document. Treat it as read-only.
func (m *StateMachine) Document() *Document { return m.document }

// Version returns the version of the current document.
func (m *StateMachine) Version() uint64 { return m.version }

// Revision returns the revision of the current state.
func (m *StateMachine) Revision() uint64 { return m.revision }

// Index returns the log index of the last applied command.
func (m *StateMachine) Index() uint64 { return m.lastIndex }

// Drains returns the drains, sorted by backend server. Treat them as read-only.
func (m *StateMachine) Drains() []Drain { return m.drains }

// History returns the entries of the stored versions, oldest first. Treat their
// content as read-only.
func (m *StateMachine) History() []HistoryEntry { return slices.Clone(m.history.entries) }

// DocumentAt returns the document of the given version, or false if the version does
// not exist yet or is no longer stored.
func (m *StateMachine) DocumentAt(version uint64) (*Document, bool) {
	entries, ok := m.history.entriesSince(version, m.version)
	if !ok {
		return nil, false
	}
	undo := combineUndo(entries)
	return undo.Apply(m.document), true
}

// Apply executes the command at a log index. The index must increase from call to call.
func (m *StateMachine) Apply(index uint64, c Command) Result {
	if index <= m.lastIndex {
		return m.invalidResult(Problem{Section: "command", Message: "log index was already applied"})
	}
	m.lastIndex = index
	m.resultCache.evict(index)
	c.normalize()
	if problems := c.validate(); len(problems) > 0 {
		return m.invalidResult(problems...)
	}
	if c.RequestID == "" {
		return m.execute(&c)
	}
	digest := c.digest()
	if cached, ok := m.resultCache.find(c.RequestID); ok {
		if cached.Digest != digest {
			return m.newResult(OutcomeRequestIDReused)
		}
		return cached.Result
	}
	result := m.execute(&c)
	m.resultCache.add(CachedResult{RequestID: c.RequestID, Digest: digest, Index: index, Result: result})
	return result
}

func (c *Command) normalize() {
	c.ProposedAt = truncateToSeconds(c.ProposedAt)
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
		return m.changeRegistrations(c.Registrations)
	case KindEvacuate:
		return m.evacuate(c)
	case KindEndEvacuation:
		return m.endEvacuation(c)
	case KindDrain:
		return m.drain(c)
	default:
		return m.cancelDrain(c)
	}
}

func (m *StateMachine) apply(c *Command) Result {
	if c.ExpectedVersion != m.version {
		return m.newResult(OutcomeConflict)
	}
	if c.Document != nil {
		return m.installDocument(c, c.Document)
	}
	return m.installDocument(c, c.Patch.Apply(m.document))
}

func (m *StateMachine) patch(c *Command) Result {
	entries, ok := m.history.entriesSince(c.ExpectedVersion, m.version)
	if !ok {
		return m.newResult(OutcomeConflict)
	}
	for i := range entries {
		if entries[i].Undo.overlaps(c.Patch) {
			return m.newResult(OutcomeConflict)
		}
	}
	return m.installDocument(c, c.Patch.Apply(m.document))
}

func (m *StateMachine) rollback(c *Command) Result {
	if c.ExpectedVersion != m.version {
		return m.newResult(OutcomeConflict)
	}
	earlier, ok := m.DocumentAt(c.RollbackVersion)
	if !ok {
		return m.newResult(OutcomeNotFound)
	}
	return m.installDocument(c, earlier)
}

// installDocument makes next the current document if it is valid.
func (m *StateMachine) installDocument(c *Command, next *Document) Result {
	// Only imports change listeners.
	next.Listeners = m.document.Listeners
	retireServices(m.document, next, c.ProposedAt)
	if problems := next.Validate(); len(problems) > 0 {
		return m.invalidResult(problems...)
	}
	m.assignIDs(next)
	undo := Diff(next, m.document)
	m.document = next
	m.version++
	m.revision++
	m.history.add(HistoryEntry{
		Version: m.version, Kind: c.Kind, Author: c.Author, ProposedAt: c.ProposedAt, Comment: c.Comment, Undo: undo,
	})
	return m.newResult(OutcomeAccepted)
}

// assignIDs assigns existing services their current IDs and new services new IDs. It
// writes only IDs that differ, since next shares unchanged items with documents that
// readers use. The services of both documents are sorted by name.
func (m *StateMachine) assignIDs(next *Document) {
	previous := m.document.Services
	for i := range next.Services {
		s := &next.Services[i]
		for len(previous) > 0 && previous[0].Name < s.Name {
			previous = previous[1:]
		}
		switch {
		case len(previous) == 0 || previous[0].Name != s.Name:
			s.ID = m.newServiceID(s.Name)
		case s.ID != previous[0].ID:
			s.ID = previous[0].ID
		}
	}
}

// newServiceID returns the ID of a service that the current document does not name.
func (m *StateMachine) newServiceID(name string) view.ServiceID {
	if id := m.document.retiredID(name); id != 0 {
		return id
	}
	id := m.nextServiceID
	m.nextServiceID++
	return id
}

func (m *StateMachine) findDrain(backendServer string) (int, bool) {
	return slices.BinarySearchFunc(m.drains, backendServer, func(d Drain, name string) int {
		return cmp.Compare(d.BackendServer, name)
	})
}

// drain adds a drain. If the backend server already has one, it is accepted without
// effect.
func (m *StateMachine) drain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if ok {
		return m.newResult(OutcomeAccepted)
	}
	if len(m.drains) >= maxDrains {
		return m.invalidResult(Problem{Section: "command", Key: "backend_server", Message: "too many drains; cancel those that have ended"})
	}
	drain := Drain{BackendServer: c.BackendServer, Author: c.Author, ProposedAt: c.ProposedAt, Comment: c.Comment}
	m.drains = slices.Insert(slices.Clone(m.drains), i, drain)
	m.revision++
	return m.newResult(OutcomeAccepted)
}

func (m *StateMachine) cancelDrain(c *Command) Result {
	i, ok := m.findDrain(c.BackendServer)
	if !ok {
		return m.newResult(OutcomeNotFound)
	}
	m.drains = slices.Delete(slices.Clone(m.drains), i, i+1)
	m.revision++
	return m.newResult(OutcomeAccepted)
}

func (m *StateMachine) newResult(outcome Outcome) Result {
	return Result{Outcome: outcome, Version: m.version, Revision: m.revision}
}

func (m *StateMachine) invalidResult(problems ...Problem) Result {
	result := m.newResult(OutcomeInvalid)
	result.Problems = problems[:min(len(problems), maxProblems)]
	return result
}
