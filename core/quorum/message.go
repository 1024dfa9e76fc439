package quorum

import "fmt"

// ReplicaID identifies one replica for the lifetime of its disk. IDs are random,
// so a replica that lost its disk restarts under a new ID and cannot vote again
// under the old one. Zero means no replica.
type ReplicaID uint64

// String formats id as 16 hexadecimal digits.
func (id ReplicaID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ClusterID identifies a cluster. Zero means that the replica has not joined one.
type ClusterID uint64

// String formats id as 16 hexadecimal digits.
func (id ClusterID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind is the type of an entry's payload.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop    EntryKind = iota // first entry of a leader's term (paper, section 8)
	EntryCommand                  // a command for the state machine
	EntryChange                   // a membership change
)

// Entry is one log entry.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	// Data is the command of an EntryCommand.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// Change is set on an EntryChange.
	Change *ConfChange `cbor:"5,keyasint,omitempty"`
	// Proposer and ProposalID identify the proposal, so that the proposing replica
	// recognizes the entry when it applies it.
	Proposer   ReplicaID `cbor:"6,keyasint,omitempty"`
	ProposalID uint64    `cbor:"7,keyasint,omitempty"`
}

// Size returns the approximate encoded size of e in bytes.
func (e *Entry) Size() int { return len(e.Data) + entryOverheadBytes }

const entryOverheadBytes = 32

// HardState is the persistent state (paper, figure 2). It must be on disk before
// any message that depends on it is sent.
type HardState struct {
	Cluster ClusterID `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Vote    ReplicaID `cbor:"3,keyasint"`
	// Commit may lag on disk; the leader's messages advance it again.
	Commit uint64 `cbor:"4,keyasint"`
}

// Snapshot replaces the log up to Index (paper, section 7).
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the encoded state of the state machine after entry Index.
	Data []byte `cbor:"4,keyasint"`
}

// MessageType selects the meaning of a Message's fields.
type MessageType uint8

// The types of messages between replicas.
const (
	MsgPreVote       MessageType = iota + 1 // asks whether the sender could win an election
	MsgPreVoteResp                          // response to MsgPreVote
	MsgVote                                 // requests a vote
	MsgVoteResp                             // response to MsgVote
	MsgAppend                               // entries after (Index, LogTerm)
	MsgAppendResp                           // response to MsgAppend and MsgSnapshot
	MsgHeartbeat                            // sent by the leader; Context confirms reads
	MsgHeartbeatResp                        // response to MsgHeartbeat
	MsgSnapshot                             // snapshot for a replica that needs compacted entries
	MsgTimeoutNow                           // tells a transfer target to start an election now
	MsgPropose                              // a follower's proposal, forwarded to the leader
	MsgReadIndex                            // a follower's request for a read index
	MsgReadIndexResp                        // the read index for Context
	messageTypeCount = iota + 1
)

var messageTypeNames = [messageTypeCount]string{
	"", "pre_vote", "pre_vote_resp", "vote", "vote_resp", "append", "append_resp", "heartbeat",
	"heartbeat_resp", "snapshot", "timeout_now", "propose", "read_index", "read_index_resp",
}

// String returns the type's lower-case name.
func (t MessageType) String() string {
	if t > 0 && int(t) < len(messageTypeNames) {
		return messageTypeNames[t]
	}
	return fmt.Sprintf("message(%d)", uint8(t))
}

// isLeaderOnly reports whether only the leader of a term sends messages of type t.
func (t MessageType) isLeaderOnly() bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// Message is a message between two replicas.
type Message struct {
	Type    MessageType `cbor:"1,keyasint"`
	Cluster ClusterID   `cbor:"2,keyasint"`
	From    ReplicaID   `cbor:"3,keyasint"`
	To      ReplicaID   `cbor:"4,keyasint"`
	Term    uint64      `cbor:"5,keyasint,omitempty"`
	// Index is the entry before those of an append, the last log entry in a vote
	// request, the last matching entry in a response, or a read index.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// RejectHint and RejectHintTerm are the index and term of the last entry at
	// which the log of a follower that rejects an append may match the leader's.
	RejectHint     uint64 `cbor:"11,keyasint,omitempty"`
	RejectHintTerm uint64 `cbor:"12,keyasint,omitempty"`
	// Context correlates heartbeats and read requests with their responses.
	Context uint64 `cbor:"13,keyasint,omitempty"`
	// LeadershipTransfer marks a vote request that the leader initiated. Replicas
	// grant it even while that leader is active (thesis, 4.2.3).
	LeadershipTransfer bool      `cbor:"14,keyasint,omitempty"`
	Snapshot           *Snapshot `cbor:"15,keyasint,omitempty"`
}
