package quorum

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("quorum")

var (
	// ErrNotLeader refuses what only a leader does. Nothing was proposed.
	ErrNotLeader = Errors.NewType("not_leader")
	// ErrWrongRecipient refuses a message meant for another replica identity,
	// such as the one this disk's predecessor had.
	ErrWrongRecipient = Errors.NewType("not_addressed")
	// ErrClusterMismatch refuses a message of another cluster.
	ErrClusterMismatch = Errors.NewType("cluster_mismatch")
	// ErrLeadershipTransfer refuses proposals while leadership moves away.
	ErrLeadershipTransfer = Errors.NewType("transferring")
	// ErrChangePending refuses a membership change before the last committed.
	ErrChangePending = Errors.NewType("change_pending")
	// ErrInvalidChange refuses a membership change that makes no sense.
	ErrInvalidChange = Errors.NewType("invalid_change")
	// ErrNotCaughtUp refuses to promote a learner or to transfer leadership to
	// a replica whose log is behind.
	ErrNotCaughtUp = Errors.NewType("not_caught_up")
	// ErrUnsafeChange refuses a membership change after which the replicas heard
	// from lately would be no quorum.
	ErrUnsafeChange = Errors.NewType("unsafe_change")
	// ErrLogRolledBack reports that the disk lost entries this replica acknowledged.
	// The replica must stop and be replaced under a new identity.
	ErrLogRolledBack = Errors.NewType("rolled_back")
	// ErrInvalidState reports saved state that contradicts itself.
	ErrInvalidState = Errors.NewType("bad_state")
)
