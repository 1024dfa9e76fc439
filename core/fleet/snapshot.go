package fleet

import (
	"net/netip"
	"slices"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

// ErrInvalidSnapshot is the type for snapshots that cannot be restored.
var ErrInvalidSnapshot = namespace.NewType("snapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// snapshotFormat is the version of Snapshot.
const snapshotFormat = 1

// Snapshot is the whole state, for an encoding of the embedder's choice.
type Snapshot struct {
	Format           uint32           `cbor:"1,keyasint"`
	Index            uint64           `cbor:"2,keyasint"`
	Version          uint64           `cbor:"3,keyasint"`
	Revision         uint64           `cbor:"4,keyasint"`
	NextID           view.ServiceID   `cbor:"5,keyasint"`
	Document         Document         `cbor:"6,keyasint"`
	Drains           []Drain          `cbor:"7,keyasint"`
	History          []HistoryEntry   `cbor:"8,keyasint"`
	CachedResults    []CachedResult   `cbor:"9,keyasint"`
	ActiveImport     Import           `cbor:"10,keyasint,omitempty"`
	RegisteredAgents []netip.AddrPort `cbor:"11,keyasint,omitempty"`
}

// Snapshot returns the state. Treat it as read-only.
func (m *StateMachine) Snapshot() Snapshot {
	return Snapshot{
		Format:           snapshotFormat,
		Index:            m.index,
		Version:          m.version,
		Revision:         m.revision,
		NextID:           m.nextID,
		Document:         *m.document,
		Drains:           m.drains,
		History:          m.History(),
		CachedResults:    m.answers.snapshot(),
		ActiveImport:     m.imported,
		RegisteredAgents: m.RegisteredAgents(),
	}
}

// Restore returns the machine that s was taken of. It keeps s, so a machine
// that s was taken of in the same process must not be read any more.
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
		document: &s.Document,
		version:  s.Version,
		revision: s.Revision,
		nextID:   s.NextID,
		drains:   normalDrains(s.Drains),
		history:  newHistory(s.History),
		answers:  newAnswers(s.CachedResults),
		index:    s.Index,
		imported: s.ActiveImport,
		seats:    newSeats(s.RegisteredAgents),
	}
	return m, nil
}

func (s *Snapshot) checkIDs() error {
	seen := make(map[view.ServiceID]bool, len(s.Document.Services))
	for i := range s.Document.Services {
		service := &s.Document.Services[i]
		if service.ID == 0 || service.ID >= s.NextID || seen[service.ID] {
			return ErrInvalidSnapshot.New("service %q has ID %d, which is taken or at least the next ID %d",
				service.Name, service.ID, s.NextID)
		}
		seen[service.ID] = true
	}
	return nil
}

func (s *Snapshot) checkHistory() error {
	for i := range s.History {
		want := s.Version - uint64(len(s.History)-1-i)
		if s.History[i].Version != want {
			return ErrInvalidSnapshot.New("history entry %d is of version %d, not %d", i, s.History[i].Version, want)
		}
		s.History[i].ProposedAt = wholeSeconds(s.History[i].ProposedAt)
		s.History[i].Undo.normalize()
	}
	return nil
}

func normalDrains(list []Drain) []Drain {
	drains := slices.Clone(list)
	for i := range drains {
		drains[i].ProposedAt = wholeSeconds(drains[i].ProposedAt)
	}
	return drains
}
