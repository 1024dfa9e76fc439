package disk

import (
	"crypto/rand"
	"slices"

	"fulmarmount.org/core/quorum"
)

// MemoryStore keeps a replica's state in memory, for a cluster of one replica. The
// state is lost when the process stops.
type MemoryStore struct {
	replica quorum.ReplicaID
	state   State
}

// NewMemoryStore returns an empty store of a new replica.
func NewMemoryStore() (*MemoryStore, error) {
	id, err := randomReplicaID(rand.Reader)
	return &MemoryStore{replica: id}, err
}

// Replica returns the ID of the replica.
func (m *MemoryStore) Replica() quorum.ReplicaID { return m.replica }

// State returns the saved state.
func (m *MemoryStore) State() State { return m.state }

// Save stores the hard state, entries and snapshot of rd.
func (m *MemoryStore) Save(rd quorum.Ready) error {
	if rd.Snapshot != nil {
		m.state.Snapshot, m.state.Entries = *rd.Snapshot, nil
	}
	if rd.HardState != nil {
		m.state.HardState = *rd.HardState
	}
	entries, err := mergeEntries(m.state.Entries, rd.Entries)
	if err != nil {
		return ErrIO.Wrap(err, "entries are not contiguous")
	}
	m.state.Entries = entries
	return nil
}

// Compact stores a snapshot and discards the entries before first.
func (m *MemoryStore) Compact(snapshot quorum.Snapshot, first uint64) error {
	m.state.Snapshot = snapshot
	m.state.Entries = entriesFrom(m.state.Entries, first)
	return nil
}

// entriesFrom returns a copy of the entries from index first on.
func entriesFrom(entries []quorum.Entry, first uint64) []quorum.Entry {
	dropped := 0
	for dropped < len(entries) && entries[dropped].Index < first {
		dropped++
	}
	return slices.Clone(entries[dropped:])
}
