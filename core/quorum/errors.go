package quorum

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("quorum")

var (
	// NotLeader refuses what only a leader does. Nothing was proposed.
	NotLeader = Errors.NewType("not_leader")
	// NotAddressed refuses a message meant for another replica identity,
	// such as the one this disk's predecessor had.
	NotAddressed = Errors.NewType("not_addressed")
	// ClusterMismatch refuses a message of another cluster.
	ClusterMismatch = Errors.NewType("cluster_mismatch")
	// Transferring refuses proposals while leadership moves away.
	Transferring = Errors.NewType("transferring")
	// ChangePending refuses a membership change before the last committed.
	ChangePending = Errors.NewType("change_pending")
	// InvalidChange refuses a membership change that makes no sense.
	InvalidChange = Errors.NewType("invalid_change")
	// NotCaughtUp refuses to promote a learner or to transfer leadership to
	// a replica whose log is behind.
	NotCaughtUp = Errors.NewType("not_caught_up")
	// UnsafeChange refuses a membership change after which the replicas heard
	// from lately would be no quorum.
	UnsafeChange = Errors.NewType("unsafe_change")
	// RolledBack reports that the disk lost entries this replica acknowledged.
	// The replica must stop and be replaced under a new identity.
	RolledBack = Errors.NewType("rolled_back")
	// BadState reports saved state that contradicts itself.
	BadState = Errors.NewType("bad_state")
)
