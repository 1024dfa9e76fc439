package quorum

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("quorum")

var (
	// ErrNotLeader rejects an operation that requires the leader. Nothing was
	// proposed.
	ErrNotLeader = Errors.NewType("not_leader")
	// ErrWrongRecipient rejects a message addressed to another replica ID, such
	// as the ID used with this replica's previous disk.
	ErrWrongRecipient = Errors.NewType("not_addressed")
	// ErrClusterMismatch rejects a message from another cluster.
	ErrClusterMismatch = Errors.NewType("cluster_mismatch")
	// ErrLeadershipTransfer rejects proposals during a leadership transfer.
	ErrLeadershipTransfer = Errors.NewType("transferring")
	// ErrChangePending rejects a membership change while the previous one is not
	// committed, or before an entry of the term is committed.
	ErrChangePending = Errors.NewType("change_pending")
	// ErrInvalidChange rejects a change that does not apply to the membership.
	ErrInvalidChange = Errors.NewType("invalid_change")
	// ErrNotCaughtUp rejects the promotion of a learner, or a leadership transfer,
	// if the replica's log lags behind or the replica is inactive.
	ErrNotCaughtUp = Errors.NewType("not_caught_up")
	// ErrUnsafeChange rejects a membership change after which the recently active
	// replicas would not form a quorum.
	ErrUnsafeChange = Errors.NewType("unsafe_change")
	// ErrLogRolledBack reports that the disk lost entries that this replica has
	// acknowledged. The replica must stop and be replaced under a new ID.
	ErrLogRolledBack = Errors.NewType("rolled_back")
	// ErrInvalidState reports inconsistent saved state, or an entry at which no
	// snapshot can be created.
	ErrInvalidState = Errors.NewType("bad_state")
)
