package replica

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("replica")

var (
	// OutcomeUnknown says that the command may have run or may run yet. Send it again
	// with the same request ID.
	OutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Temporary())
	// NotRun says that nothing was proposed, since no leader was known until the
	// call's end.
	NotRun = Errors.NewType("not_run", errorx.Temporary())
	// Unconfirmed says that no majority confirmed that a read would be current.
	Unconfirmed = Errors.NewType("unconfirmed", errorx.Temporary())
	// NotLeader refuses a membership change on a replica that does not lead.
	NotLeader = Errors.NewType("not_leader", errorx.Temporary())
	// Stopped says that the replica has ended.
	Stopped = Errors.NewType("stopped", errorx.Temporary())
	// Machine reports a state machine that could not be saved or restored.
	Machine = Errors.NewType("machine")
)
