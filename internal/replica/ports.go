package replica

import (
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

// StateMachine is the replicated state. Its methods are called by one
// goroutine and must depend on nothing but their arguments.
type StateMachine interface {
	// Apply executes the command at a log index and returns its result.
	// Indexes grow, not always by one.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(state []byte) error
}

// Transport carries messages between replicas. It may lose, delay, reorder
// and duplicate them, and must not block.
type Transport interface {
	// Send sends messages to a member. It must not change them.
	Send(to quorum.Member, messages []quorum.Message)
}

// Store makes the replica's state durable; see disk.Store.
type Store interface {
	Replica() quorum.ReplicaID
	State() disk.State
	Save(rd quorum.Ready) error
	Compact(snapshot quorum.Snapshot, first uint64) error
}

// Bootstrap makes a store that holds nothing one of the first replicas of a
// new cluster. All of them must be given the same arguments.
func Bootstrap(s Store, cluster quorum.ClusterID, members ...quorum.Member) error {
	hard, snapshot := quorum.Bootstrap(cluster, members...)
	return s.Save(quorum.Ready{HardState: &hard, Snapshot: &snapshot, MustSync: true})
}

// IsEmpty reports whether a store belongs to no cluster yet.
func IsEmpty(s Store) bool {
	state := s.State()
	return state.Snapshot.Index == 0 && len(state.Entries) == 0
}
