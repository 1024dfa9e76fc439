package fleet

import (
	"net/netip"
	"slices"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

// ErrInvalidSnapshot is the error type for snapshots that cannot be restored.
var ErrInvalidSnapshot = namespace.NewType("snapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// snapshotFormat is the format version of Snapshot.
const snapshotFormat = 1

// Snapshot is the complete state of a StateMachine. The caller chooses its encoding.
type Snapshot struct {
	Format           uint32           `cbor:"1,keyasint"`
	Index            uint64           `cbor:"2,keyasint"`
	Version          uint64           `cbor:"3,keyasint"`
	Revision         uint64           `cbor:"4,keyasint"`
	NextServiceID    view.ServiceID   `cbor:"5,keyasint"`
	Document         Document         `cbor:"6,keyasint"`
	Drains           []Drain          `cbor:"7,keyasint"`
	History          []HistoryEntry   `cbor:"8,keyasint"`
	CachedResults    []CachedResult   `cbor:"9,keyasint"`
	ActiveImport     Import           `cbor:"10,keyasint,omitempty"`
	RegisteredAgents []netip.AddrPort `cbor:"11,keyasint,omitempty"`
	Evacuations      []Evacuation     `cbor:"12,keyasint,omitempty"`
	// EvacuationRevision is the revision at which Evacuations last changed.
	EvacuationRevision uint64 `cbor:"13,keyasint,omitempty"`
}

// Snapshot returns a snapshot of the state. Treat it as read-only.
func (m *StateMachine) Snapshot() Snapshot {
	return Snapshot{
		Format:             snapshotFormat,
		Index:              m.lastIndex,
		Version:            m.version,
		Revision:           m.revision,
		NextServiceID:      m.nextServiceID,
		Document:           *m.document,
		Drains:             m.drains,
		History:            m.History(),
		CachedResults:      m.resultCache.snapshot(),
		ActiveImport:       m.activeImport,
		RegisteredAgents:   m.RegisteredAgents(),
		Evacuations:        m.evacuations.sorted,
		EvacuationRevision: m.evacuations.revision,
	}
}

// Restore returns a state machine with the state of s, whose content it retains. If s was
// returned by a state machine in the same process, that one must not be used afterwards.
func Restore(s Snapshot) (*StateMachine, error) {
	if s.Format != snapshotFormat {
		return nil, ErrInvalidSnapshot.New("snapshot has format %d, not %d", s.Format, snapshotFormat)
	}
	s.Document.Normalize()
	if problems := s.Document.Validate(); len(problems) > 0 {
		return nil, ErrInvalidSnapshot.New("snapshot of version %d is invalid: %s", s.Version, problems[0])
	}
	if err := s.checkIDs(); err != nil {
		return nil, err
	}
	if err := s.checkHistory(); err != nil {
		return nil, err
	}
	m := &StateMachine{
		document:         &s.Document,
		version:          s.Version,
		revision:         s.Revision,
		nextServiceID:    s.NextServiceID,
		drains:           normalizeDrains(s.Drains),
		evacuations:      newEvacuations(s.Evacuations, s.EvacuationRevision),
		history:          newHistory(s.History),
		resultCache:      newResultCache(s.CachedResults),
		lastIndex:        s.Index,
		activeImport:     s.ActiveImport,
		registeredAgents: newRegisteredAgents(s.RegisteredAgents),
	}
	return m, nil
}

func (s *Snapshot) checkIDs() error {
	services := s.Document.AllServices()
	seen := make(map[view.ServiceID]bool, len(services))
	for i := range services {
		service := &services[i]
		if service.ID == 0 || service.ID >= s.NextServiceID || seen[service.ID] {
			return ErrInvalidSnapshot.New("service %q has ID %d, which is zero, a duplicate or not below the next ID %d",
				service.Name, service.ID, s.NextServiceID)
		}
		seen[service.ID] = true
	}
	return nil
}

func (s *Snapshot) checkHistory() error {
	for i := range s.History {
		want := s.Version - uint64(len(s.History)-1-i)
		if s.History[i].Version != want {
			return ErrInvalidSnapshot.New("history entry %d has version %d, not %d", i, s.History[i].Version, want)
		}
		s.History[i].ProposedAt = truncateToSeconds(s.History[i].ProposedAt)
		s.History[i].Undo.normalize()
	}
	return nil
}

func normalizeDrains(list []Drain) []Drain {
	drains := slices.Clone(list)
	for i := range drains {
		drains[i].ProposedAt = truncateToSeconds(drains[i].ProposedAt)
	}
	return drains
}
