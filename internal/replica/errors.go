package replica

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("replica")

var (
	// ErrOutcomeUnknown says that the command may have run or may run yet. Send it again
	// with the same request ID.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Temporary())
	// ErrNotProposed says that nothing was proposed, since no leader was known until the
	// call's end.
	ErrNotProposed = Errors.NewType("not_run", errorx.Temporary())
	// ErrReadUnconfirmed says that no majority confirmed that a read would be current.
	ErrReadUnconfirmed = Errors.NewType("unconfirmed", errorx.Temporary())
	// ErrNotLeader refuses a membership change on a replica that does not lead.
	ErrNotLeader = Errors.NewType("not_leader", errorx.Temporary())
	// ErrStopped says that the replica has ended.
	ErrStopped = Errors.NewType("stopped", errorx.Temporary())
	// ErrStateMachine reports a state machine that could not be saved or restored.
	ErrStateMachine = Errors.NewType("machine")
)
