package quorum

import "fmt"

// ReplicaID is the identity of one replica for the life of one disk. It is
// drawn at random, so a replica that lost its disk returns under another one
// and cannot vote as its old self. Zero is no replica.
type ReplicaID uint64

// String formats id as 16 hexadecimal digits.
func (id ReplicaID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ClusterID tells clusters apart. Zero is a replica that joined none yet.
type ClusterID uint64

// String formats id as 16 hexadecimal digits.
func (id ClusterID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind is what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop    EntryKind = iota // first entry of a leader's term (paper, section 8)
	EntryCommand                  // a command for the state machine
	EntryChange                   // a membership change
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	// Data is the command of an EntryCommand.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// Change is set on an EntryChange.
	Change *ConfChange `cbor:"5,keyasint,omitempty"`
	// Proposer and Number name the proposal, so that the replica which took it
	// recognises its own entry when it applies it.
	Proposer   ReplicaID `cbor:"6,keyasint,omitempty"`
	ProposalID uint64    `cbor:"7,keyasint,omitempty"`
}

// size returns the approximate encoded size of e in bytes.
func (e *Entry) size() int { return len(e.Data) + entryOverheadBytes }

const entryOverheadBytes = 32

// HardState must be on disk before any message that depends on it is sent
// (paper, figure 2: persistent state).
type HardState struct {
	Cluster ClusterID `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Vote    ReplicaID `cbor:"3,keyasint"`
	// Commit may lag on disk; it is raised again by the leader.
	Commit uint64 `cbor:"4,keyasint"`
}

// Snapshot replaces the log up to Index (paper, section 7).
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the state machine's state after Index.
	Data []byte `cbor:"4,keyasint"`
}

// MessageType selects the meaning of a Message's fields.
type MessageType uint8

// The types of messages between replicas.
const (
	MsgPreVote       MessageType = iota + 1 // asks whether an election could be won
	MsgPreVoteResp                          // answer to MsgPreVote
	MsgVote                                 // asks for a vote
	MsgVoteResp                             // answer to MsgVote
	MsgAppend                               // entries after (Index, LogTerm)
	MsgAppendResp                           // answer to MsgAppend and MsgSnapshot
	MsgHeartbeat                            // leader to all; Context confirms reads
	MsgHeartbeatResp                        // answer to MsgHeartbeat
	MsgSnapshot                             // state for a replica too far behind
	MsgTimeoutNow                           // start an election at once
	MsgPropose                              // a follower's proposal for the leader
	MsgReadIndex                            // a follower asks for a read index
	MsgReadIndexResp                        // the read index for Context
	messageTypeCount = iota + 1
)

var messageNames = [messageTypeCount]string{
	"", "pre_vote", "pre_vote_resp", "vote", "vote_resp", "append", "append_resp", "heartbeat",
	"heartbeat_resp", "snapshot", "timeout_now", "propose", "read_index", "read_index_resp",
}

// String returns the type's lower-case name.
func (t MessageType) String() string {
	if t > 0 && int(t) < len(messageNames) {
		return messageNames[t]
	}
	return fmt.Sprintf("message(%d)", uint8(t))
}

// fromLeader reports whether only the leader of the message's term sends t.
func (t MessageType) fromLeader() bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// Message is what replicas tell each other.
type Message struct {
	Type    MessageType `cbor:"1,keyasint"`
	Cluster ClusterID   `cbor:"2,keyasint"`
	From    ReplicaID   `cbor:"3,keyasint"`
	To      ReplicaID   `cbor:"4,keyasint"`
	Term    uint64      `cbor:"5,keyasint,omitempty"`
	// Index is the previous entry of an append, the last entry of a vote
	// request, the last matching entry of a response, or a read index.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// RejectHint and HintTerm are where a rejecting follower's log may still match.
	RejectHint     uint64 `cbor:"11,keyasint,omitempty"`
	RejectHintTerm uint64 `cbor:"12,keyasint,omitempty"`
	// Context ties heartbeats and reads to their answers.
	Context uint64 `cbor:"13,keyasint,omitempty"`
	// LeadershipTransfer marks a vote request made at the leader's own wish, which
	// replicas grant although they hear from that leader (thesis, 4.2.3).
	LeadershipTransfer bool      `cbor:"14,keyasint,omitempty"`
	Snapshot           *Snapshot `cbor:"15,keyasint,omitempty"`
}
