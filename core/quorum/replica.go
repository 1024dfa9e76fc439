package quorum

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/joomcode/errorx"
)

// Role is the role of a replica in the current term.
type Role uint8

// The roles (paper, section 5.1).
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre_candidate", "candidate", "leader"}

// String returns the role's lower-case name.
func (r Role) String() string { return roleNames[r] }

// Config configures a Replica.
type Config struct {
	// ID identifies the replica. Each new disk requires a new ID.
	ID ReplicaID
	// ElectionTicks is the minimum election timeout. Each timeout is chosen at
	// random between it and twice its value.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval. It must be well below ElectionTicks.
	HeartbeatTicks int
	// MaxAppendBytes limits the size of the entries in one message. A single entry
	// may exceed it.
	MaxAppendBytes int
	// MaxInflight is the maximum number of unacknowledged appends per replica.
	MaxInflight int
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
	// HardState, Snapshot and Entries are the saved state. The first replicas of a
	// cluster start from the state returned by Bootstrap. A replica that waits to be
	// added has no Snapshot.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 1
	DefaultMaxAppendBytes = 256 << 10
	DefaultMaxInflight    = 64
)

// Replica is the Raft state machine of one member, or prospective member, of the
// cluster.
type Replica struct {
	config  Config
	id      ReplicaID
	cluster ClusterID
	term    uint64
	vote    ReplicaID
	role    Role
	leader  ReplicaID
	log     *entryLog

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes          map[ReplicaID]bool // responses in the current election
	progress       []*Progress        // leader only: the other members, sorted by ID
	transferTarget ReplicaID          // target of the current leadership transfer, or 0

	followedLeader    ReplicaID // the latest leader that this replica followed since it last led, or 0
	followedIdleTicks int       // ticks since the latest message of followedLeader

	reads           readQueue
	readStates      []ReadState
	messages        []Message
	appendsDue      bool      // leader only: new entries or a new commit index to send
	unsavedSnapshot *Snapshot // received, but not yet on disk

	savedHardState    HardState // as of the last Advance
	reportedSoftState SoftState
}

// New returns a replica that resumes from the saved state in c.
func New(c Config) (*Replica, error) {
	if c.ID == 0 {
		return nil, errorx.IllegalArgument.New("replica ID is zero")
	}
	if c.Rand == nil {
		return nil, errorx.IllegalArgument.New("Rand is nil")
	}
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, DefaultMaxAppendBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, DefaultMaxInflight)
	log, err := newEntryLog(c.Snapshot, c.Entries)
	if err != nil {
		return nil, err
	}
	if len(c.Snapshot.Membership.Members) > 0 && c.Snapshot.Index == 0 {
		return nil, ErrInvalidState.New("snapshot with a membership is at entry 0")
	}
	if c.HardState.Commit > log.lastIndex() {
		return nil, ErrInvalidState.New("entry %d is committed, but the log ends at entry %d", c.HardState.Commit, log.lastIndex())
	}
	if c.HardState.Term < log.lastTerm() {
		return nil, ErrInvalidState.New("saved term %d is less than the log's last term %d", c.HardState.Term, log.lastTerm())
	}
	log.committed = max(log.committed, c.HardState.Commit)
	r := &Replica{
		config: c, id: c.ID, cluster: c.HardState.Cluster,
		term: c.HardState.Term, vote: c.HardState.Vote, log: log,
	}
	r.config.Entries = nil
	r.savedHardState = r.hardState()
	r.becomeFollower(r.term, 0)
	r.electionTimeout = 1 // after a restart there may be no leader to wait for
	return r, nil
}

// Tick advances the replica's logical clock by one tick.
func (r *Replica) Tick() {
	r.electionElapsed++
	r.followedIdleTicks++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.log.membership().IsVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// Step processes a message from another replica. An error states why the message
// was rejected.
func (r *Replica) Step(m Message) error {
	if err := r.checkRecipient(m); err != nil {
		return err
	}
	if p := r.progressOf(m.From); p != nil {
		p.ActiveSinceCheck = true
		p.IdleTicks = 0
	}
	switch {
	case m.Type == MsgPropose:
		return r.stepPropose(m)
	case m.Type == MsgReadIndex:
		r.stepReadIndex(m)
		return nil
	case m.Term < r.term:
		r.rejectStaleTerm(m)
		return nil
	case m.Term > r.term && !r.adoptTerm(m):
		return nil
	}
	if m.Type == MsgHeartbeat && m.Commit > r.log.lastIndex() {
		return ErrLogRolledBack.New("replica %s acknowledged entry %d, but its log ends at entry %d", r.id, m.Commit, r.log.lastIndex())
	}
	r.dispatch(m)
	return nil
}

// checkRecipient checks that m is addressed to this replica and cluster. A replica
// without a cluster joins the cluster of the first leader that sends it a message.
func (r *Replica) checkRecipient(m Message) error {
	if m.To != r.id {
		return ErrWrongRecipient.New("%s message for replica %s received by replica %s", m.Type, m.To, r.id)
	}
	if r.cluster == 0 && m.Cluster != 0 && m.Type.isLeaderOnly() {
		r.cluster = m.Cluster
	}
	if m.Cluster != r.cluster {
		return ErrClusterMismatch.New("%s message of cluster %s received in cluster %s", m.Type, m.Cluster, r.cluster)
	}
	return nil
}

// adoptTerm adopts the greater term of m, except that of a pre-vote request or a
// granted pre-vote, which has not begun (thesis, 9.6). It returns false if m must be
// ignored.
func (r *Replica) adoptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if r.hasLiveLeader() && !m.LeadershipTransfer {
			return false // thesis, 4.2.3: do not disrupt a live leader
		}
		if m.Type == MsgPreVote {
			return true
		}
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	}
	leader := ReplicaID(0)
	if m.Type.isLeaderOnly() {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm rejects a message of an older term; the response carries the
// current term.
func (r *Replica) rejectStaleTerm(m Message) {
	switch {
	case m.Type.isLeaderOnly():
		r.send(Message{Type: MsgAppendResp, To: m.From, Reject: true})
	case m.Type == MsgPreVote:
		r.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	case m.Type == MsgVote:
		r.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
	}
}

func (r *Replica) dispatch(m Message) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		r.stepVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		r.stepVoteResp(m)
	case MsgAppend:
		r.followLeader(m)
		r.stepAppend(m)
	case MsgHeartbeat:
		r.followLeader(m)
		r.stepHeartbeat(m)
	case MsgSnapshot:
		r.followLeader(m)
		r.stepSnapshot(m)
	case MsgAppendResp:
		r.stepAppendResp(m)
	case MsgHeartbeatResp:
		r.stepHeartbeatResp(m)
	case MsgTimeoutNow:
		r.stepTimeoutNow()
	case MsgReadIndexResp:
		r.readStates = append(r.readStates, ReadState{Context: m.Context, Index: m.Index})
	}
}

// followLeader accepts the sender of m as the leader of this term.
func (r *Replica) followLeader(m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.term, m.From)
	}
	r.electionElapsed = 0
	r.followedLeader = m.From
	r.followedIdleTicks = 0
}

// send queues m with this replica's ID and cluster and, unless m has a term or
// is of a type without one, the current term.
func (r *Replica) send(m Message) {
	m.From = r.id
	m.Cluster = r.cluster
	if m.Term == 0 && m.Type != MsgPropose && m.Type != MsgReadIndex {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

// progressOf returns the progress of another replica, or nil if there is none or
// this replica is not the leader.
func (r *Replica) progressOf(id ReplicaID) *Progress {
	i := slices.IndexFunc(r.progress, func(p *Progress) bool { return p.ID == id })
	if i < 0 {
		return nil
	}
	return r.progress[i]
}

func (r *Replica) hardState() HardState {
	return HardState{Cluster: r.cluster, Term: r.term, Vote: r.vote, Commit: r.log.committed}
}
