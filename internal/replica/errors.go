package replica

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("replica")

var (
	// ErrOutcomeUnknown reports that the command may have been applied or may still be
	// applied. A retry must use the same request ID.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Temporary())
	// ErrNotProposed reports that nothing was proposed: before the call ended, no
	// leader accepted proposals or the event loop was busy.
	ErrNotProposed = Errors.NewType("not_run", errorx.Temporary())
	// ErrReadUnconfirmed reports that the read index was not confirmed by a majority, so
	// that a read could be stale.
	ErrReadUnconfirmed = Errors.NewType("unconfirmed", errorx.Temporary())
	// ErrNotLeader rejects a membership change on a replica that is not the leader.
	ErrNotLeader = Errors.NewType("not_leader", errorx.Temporary())
	// ErrNoSuccessor reports that no other voter can take over the leadership.
	ErrNoSuccessor = Errors.NewType("no_successor", errorx.Temporary())
	// ErrStopped reports that the replica has stopped.
	ErrStopped = Errors.NewType("stopped", errorx.Temporary())
	// ErrStateMachine reports that the state machine failed to create or restore a
	// snapshot.
	ErrStateMachine = Errors.NewType("machine")
)
