package disk

import (
	"crypto/rand"
	"slices"

	"fulmarmount.org/core/quorum"
)

// Memory is a store that ends with its process, for a replica on its own.
type Memory struct {
	replica quorum.ReplicaID
	state   State
}

// NewMemory returns an empty store of a new replica.
func NewMemory() (*Memory, error) {
	id, err := drawReplica(rand.Reader)
	return &Memory{replica: id}, err
}

// Replica returns the identity of the replica.
func (m *Memory) Replica() quorum.ReplicaID { return m.replica }

// State returns what was saved.
func (m *Memory) State() State { return m.state }

// Save keeps what rd asks for.
func (m *Memory) Save(rd quorum.Ready) error {
	if rd.Snapshot != nil {
		m.state.Snapshot, m.state.Entries = *rd.Snapshot, nil
	}
	if rd.HardState != nil {
		m.state.HardState = *rd.HardState
	}
	entries, err := mergeEntries(m.state.Entries, rd.Entries)
	if err != nil {
		return Failed.Wrap(err, "entries do not fit")
	}
	m.state.Entries = entries
	return nil
}

// Compact adopts a snapshot and drops the entries before first.
func (m *Memory) Compact(snapshot quorum.Snapshot, first uint64) error {
	m.state.Snapshot = snapshot
	m.state.Entries = dropBefore(m.state.Entries, first)
	return nil
}

// dropBefore returns a copy of the entries from index first on.
func dropBefore(entries []quorum.Entry, first uint64) []quorum.Entry {
	drop := 0
	for drop < len(entries) && entries[drop].Index < first {
		drop++
	}
	return slices.Clone(entries[drop:])
}
