package replica

import (
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

// StateMachine is the replicated state. Its methods are called by one goroutine and
// must be deterministic: they depend on the state and their arguments only.
type StateMachine interface {
	// Apply executes the command at a log index and returns its result.
	// Indexes increase, but not always by one.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(state []byte) error
}

// Transport carries messages between replicas. It may lose, delay, reorder
// and duplicate them, and must not block.
type Transport interface {
	// Send sends messages to a member. It must not modify them.
	Send(to quorum.Member, messages []quorum.Message)
}

// Store persists the replica's state; see disk.Store.
type Store interface {
	Replica() quorum.ReplicaID
	State() disk.State
	Save(rd quorum.Ready) error
	Compact(snapshot quorum.Snapshot, first uint64) error
}

// Bootstrap initializes an empty store as one of the initial replicas of a new
// cluster. Cluster and members must be the same on all of them.
func Bootstrap(s Store, cluster quorum.ClusterID, members ...quorum.Member) error {
	hard, snapshot := quorum.Bootstrap(cluster, members...)
	return s.Save(quorum.Ready{HardState: &hard, Snapshot: &snapshot, MustSync: true})
}

// IsEmpty reports whether a store has neither a snapshot nor entries, and so belongs
// to no cluster yet.
func IsEmpty(s Store) bool {
	state := s.State()
	return state.Snapshot.Index == 0 && len(state.Entries) == 0
}
