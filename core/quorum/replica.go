package quorum

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/joomcode/errorx"
)

// Role is what a replica does in the current term.
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

// Config is what a Replica is made of.
type Config struct {
	// ID is the replica's identity, new for each disk life.
	ID ReplicaID
	// ElectionTicks is the shortest time without a leader before an election.
	// Each wait is drawn between it and twice as much.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats, well under ElectionTicks.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries in one message, unless one alone is
	// larger.
	MaxAppendBytes int
	// MaxInflight is the number of unanswered appends per replica.
	MaxInflight int
	// Rand draws election timeouts.
	Rand *rand.Rand
	// HardState, Snapshot and Entries are what the disk holds. A replica that
	// starts a cluster has a Snapshot with itself as the only voter; one that
	// waits to be added has none.
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

// Replica is one member of the cluster, or a candidate for it.
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

	votes    map[ReplicaID]bool // answers of the running election
	progress []*Progress        // leader only, sorted by ID, without itself
	transfer ReplicaID          // target of a leadership transfer, or 0

	reads       readQueue
	readStates  []ReadState
	messages    []Message
	appendsDue  bool      // the leader has news for its followers
	newSnapshot *Snapshot // received and not on disk yet

	saved     HardState // as of the last Advance
	savedSoft SoftState
}

// New returns a replica that continues from what the disk holds.
func New(c Config) (*Replica, error) {
	if c.ID == 0 {
		return nil, errorx.IllegalArgument.New("replica ID is zero")
	}
	if c.Rand == nil {
		return nil, errorx.IllegalArgument.New("no source of randomness")
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
		return nil, ErrInvalidState.New("entry %d is committed and the log ends at %d", c.HardState.Commit, log.lastIndex())
	}
	if c.HardState.Term < log.lastTerm() {
		return nil, ErrInvalidState.New("term is %d and the log has term %d", c.HardState.Term, log.lastTerm())
	}
	log.committed = max(log.committed, c.HardState.Commit)
	r := &Replica{
		config: c, id: c.ID, cluster: c.HardState.Cluster,
		term: c.HardState.Term, vote: c.HardState.Vote, log: log,
	}
	r.config.Entries = nil
	r.saved = r.hardState()
	r.becomeFollower(r.term, 0)
	r.electionTimeout = 1 // there may be nobody to wait for
	return r, nil
}

// Tick lets one unit of time pass.
func (r *Replica) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.log.membership().IsVoter(r.id) {
		r.campaign(PreCandidate, false)
	}
}

// Step takes a message from another replica. An error says why it was
// refused; the replica is unchanged then.
func (r *Replica) Step(m Message) error {
	if err := r.accept(m); err != nil {
		return err
	}
	if p := r.find(m.From); p != nil {
		p.RecentlyActive = true
	}
	switch {
	case m.Type == MsgPropose:
		return r.stepPropose(m)
	case m.Type == MsgReadIndex:
		r.stepReadIndex(m)
		return nil
	case m.Term < r.term:
		r.answerStale(m)
		return nil
	case m.Term > r.term && !r.enterTerm(m):
		return nil
	}
	if m.Type == MsgHeartbeat && m.Commit > r.log.lastIndex() {
		return ErrLogRolledBack.New("replica %s acknowledged entry %d and its log ends at %d", r.id, m.Commit, r.log.lastIndex())
	}
	r.dispatch(m)
	return nil
}

// accept checks whom m is for. A replica without a cluster joins that of the
// first leader that addresses it.
func (r *Replica) accept(m Message) error {
	if m.To != r.id {
		return ErrWrongRecipient.New("%s message for replica %s reached %s", m.Type, m.To, r.id)
	}
	if r.cluster == 0 && m.Cluster != 0 && m.Type.fromLeader() {
		r.cluster = m.Cluster
	}
	if m.Cluster != r.cluster {
		return ErrClusterMismatch.New("%s message of cluster %s reached cluster %s", m.Type, m.Cluster, r.cluster)
	}
	return nil
}

// enterTerm moves to the greater term of m; false drops m.
func (r *Replica) enterTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if r.hearsLeader() && !m.LeadershipTransfer {
			return false // thesis, 4.2.3: a live leader is not disturbed
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
	if m.Type.fromLeader() {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// answerStale tells a sender of an older term about this one.
func (r *Replica) answerStale(m Message) {
	switch {
	case m.Type.fromLeader():
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
		r.follow(m)
		r.stepAppend(m)
	case MsgHeartbeat:
		r.follow(m)
		r.stepHeartbeat(m)
	case MsgSnapshot:
		r.follow(m)
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

// follow accepts the sender as the leader of this term.
func (r *Replica) follow(m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.term, m.From)
	}
	r.electionElapsed = 0
}

// send queues m with this replica's identity and, unless set, its term.
func (r *Replica) send(m Message) {
	m.From = r.id
	m.Cluster = r.cluster
	if m.Term == 0 && m.Type != MsgPropose && m.Type != MsgReadIndex {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

// find returns the progress of another replica, nil unless leader.
func (r *Replica) find(id ReplicaID) *Progress {
	i := slices.IndexFunc(r.progress, func(p *Progress) bool { return p.ID == id })
	if i < 0 {
		return nil
	}
	return r.progress[i]
}

func (r *Replica) hardState() HardState {
	return HardState{Cluster: r.cluster, Term: r.term, Vote: r.vote, Commit: r.log.committed}
}
