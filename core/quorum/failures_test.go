package quorum

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// electedSim returns a cluster with a leader and ten committed commands.
func electedSim(replicas int) *sim {
	s := newSim(1, replicas)
	s.run(60)
	for range 10 {
		s.propose(s.leader())
		s.run(3)
	}
	return s
}

func (s *sim) followers() []*node {
	var out []*node
	for _, n := range s.nodes {
		if n != s.leader() {
			out = append(out, n)
		}
	}
	return out
}

func (s *sim) isolate(n *node) {
	for _, other := range s.nodes {
		s.blocked[[2]ReplicaID{n.id, other.id}] = true
		s.blocked[[2]ReplicaID{other.id, n.id}] = true
	}
}

// replaceReplica replaces the disk of n and completes the repair.
func (s *sim) replaceReplica(n *node) {
	s.lostID = n.id
	s.crash(n)
	s.replaceDisk(n)
	for i := 0; s.lostID != 0 && i < 50; i++ {
		s.repair()
		s.run(10)
	}
}

func TestFailureScenarios(t *testing.T) {
	cases := []struct {
		name string
		run  func(is *is.I, s *sim)
	}{
		{"a replica with a replaced disk rejoins as a learner under a new ID", replacedDiskRejoins},
		{"a learner that lacks a few large entries is not promoted", largeLagIsNotCaughtUp},
		{"another VM is lost right after the repair", secondLossAfterRepair},
		{"a leader is partitioned for an hour", leaderPartitioned},
		{"a leader is partitioned and its clock stopped", leaderClockStopped},
		{"a leader sends but receives no messages", asymmetricPartition},
		{"a rejoining replica does not disrupt the leader", preVoteKeepsLeader},
		{"membership changes are made one at a time", changesOneAtATime},
		{"a change that would lose the quorum is rejected", unsafeChange},
		{"leadership is transferred to a chosen voter", transfer},
		{"a leader removes itself", leaderRemovesItself},
		{"a message of another cluster is rejected", otherCluster},
		{"a disk that was rolled back to an older state is detected", rolledBack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := electedSim(3)
			c.run(is, s)
			s.heal()
			is.Equal(s.failures, nil)
		})
	}
}

func replacedDiskRejoins(is *is.I, s *sim) {
	n := s.followers()[0]
	old := n.id
	s.lostID = old
	s.crash(n)
	s.replaceDisk(n)
	vote := Message{Type: MsgVote, Cluster: simCluster, From: s.leader().id, To: old, Term: 99, Index: 99, LogTerm: 99}
	is.True(errorx.IsOfType(n.r.Step(vote), ErrWrongRecipient))
	s.run(100)
	is.Equal(n.r.Status().Role, Follower)
	is.Equal(n.r.Status().Term, uint64(0)) // never campaigned

	s.isolate(n)
	learner := Member{ID: n.id}
	is.NoErr(s.leader().r.ProposeChange(0, ConfChange{Op: AddLearner, Member: learner}))
	s.run(30)
	err := s.leader().r.ProposeChange(0, ConfChange{Op: PromoteLearner, Member: learner})
	is.True(errorx.IsOfType(err, ErrNotCaughtUp))
	s.blocked = map[[2]ReplicaID]bool{}
	s.run(50)
	is.NoErr(s.leader().r.ProposeChange(0, ConfChange{Op: PromoteLearner, Member: learner}))
}

// Guards against a promotion after which every commit waits for megabytes that the new
// voter lacks: two entries are few, but these take long to replicate.
func largeLagIsNotCaughtUp(is *is.I, s *sim) {
	n := s.followers()[0]
	s.lostID = n.id
	s.crash(n)
	s.replaceDisk(n)
	learner := Member{ID: n.id}
	is.NoErr(s.leader().r.ProposeChange(0, ConfChange{Op: AddLearner, Member: learner}))
	s.run(50)
	s.isolate(n)
	for range 2 {
		is.NoErr(s.leader().r.Propose(0, make([]byte, maxPromotionLagBytes)))
	}
	s.run(3)
	err := s.leader().r.ProposeChange(0, ConfChange{Op: PromoteLearner, Member: learner})
	is.True(errorx.IsOfType(err, ErrNotCaughtUp))
	s.blocked = map[[2]ReplicaID]bool{}
	s.run(50)
	is.NoErr(s.leader().r.ProposeChange(0, ConfChange{Op: PromoteLearner, Member: learner}))
}

func secondLossAfterRepair(is *is.I, s *sim) {
	s.replaceReplica(s.followers()[0])
	is.Equal(s.lostID, ReplicaID(0))
	before := len(s.ackedCommands)
	s.propose(s.leader())
	s.run(5)
	is.Equal(len(s.ackedCommands), before+1)
	s.replaceReplica(s.leader())
	is.Equal(s.lostID, ReplicaID(0))
	s.replaceReplica(s.followers()[1])
}

func leaderPartitioned(is *is.I, s *sim) {
	const hourOfTicks = 36000 // of 100 ms
	old := s.leader()
	s.isolate(old)
	proposalID := s.propose(old)
	s.read(old)
	s.run(100)
	for range 20 {
		s.propose(s.leader())
		s.run(hourOfTicks / 20)
	}
	is.True(s.leader() != old)
	is.Equal(old.r.Status().Role, PreCandidate)
	_, isAcked := s.ackedCommands[proposalID]
	is.True(!isAcked)
	is.Equal(len(old.reads), 1) // still incomplete
	is.True(errorx.IsOfType(old.r.Propose(0, nil), ErrNotLeader))
	is.True(errorx.IsOfType(old.r.ReadIndex(0), ErrNotLeader))
}

func leaderClockStopped(is *is.I, s *sim) {
	old := s.leader()
	s.isolate(old)
	old.clockRate = 0
	s.run(100)
	newLeader := s.leader()
	is.True(newLeader != old)
	s.propose(newLeader)
	s.run(5)
	is.Equal(old.r.Status().Role, Leader) // it cannot detect the new leader
	s.read(old)
	proposalID := s.propose(old)
	s.run(100)
	_, isAcked := s.ackedCommands[proposalID]
	is.True(!isAcked)
	is.Equal(len(old.reads), 1)
}

func asymmetricPartition(is *is.I, s *sim) {
	old := s.leader()
	for _, n := range s.followers() {
		s.blocked[[2]ReplicaID{n.id, old.id}] = true
	}
	s.run(200)
	is.True(s.leader() != nil)
	is.True(s.leader() != old)
}

func preVoteKeepsLeader(is *is.I, s *sim) {
	term := s.leader().r.Status().Term
	n := s.followers()[0]
	s.isolate(n)
	s.run(500)
	s.blocked = map[[2]ReplicaID]bool{}
	s.run(100)
	is.Equal(s.leader().r.Status().Term, term)
	is.Equal(n.r.Status().Term, term)
}

func changesOneAtATime(is *is.I, s *sim) {
	r := s.leader().r
	is.NoErr(r.ProposeChange(0, ConfChange{Op: AddLearner, Member: Member{ID: 50}}))
	err := r.ProposeChange(0, ConfChange{Op: AddLearner, Member: Member{ID: 51}})
	is.True(errorx.IsOfType(err, ErrChangePending))
	s.run(5)
	for _, c := range []ConfChange{
		{Op: AddLearner, Member: Member{ID: 50}},
		{Op: AddLearner},
		{Op: PromoteLearner, Member: Member{ID: 1}},
		{Op: RemoveMember, Member: Member{ID: 60}},
		{Op: 9},
	} {
		is.True(errorx.IsOfType(r.ProposeChange(0, c), ErrInvalidChange))
	}
	is.NoErr(r.ProposeChange(0, ConfChange{Op: RemoveMember, Member: Member{ID: 50}}))
}

func unsafeChange(is *is.I, s *sim) {
	dead, live := s.followers()[0], s.followers()[1]
	s.crash(dead)
	s.run(40)
	err := s.leader().r.ProposeChange(0, ConfChange{Op: RemoveMember, Member: Member{ID: live.id}})
	is.True(errorx.IsOfType(err, ErrUnsafeChange))
	err = s.leader().r.TransferLeadership(dead.id)
	is.True(errorx.IsOfType(err, ErrNotCaughtUp))
}

func transfer(is *is.I, s *sim) {
	old, to := s.leader(), s.followers()[1]
	is.True(errorx.IsOfType(old.r.TransferLeadership(77), ErrInvalidChange))
	s.propose(old)
	is.NoErr(old.r.TransferLeadership(to.id))
	is.True(errorx.IsOfType(old.r.Propose(0, nil), ErrLeadershipTransfer))
	s.run(8)
	is.Equal(s.leader().id, to.id)
}

func leaderRemovesItself(is *is.I, s *sim) {
	old := s.leader()
	is.NoErr(old.r.ProposeChange(0, ConfChange{Op: RemoveMember, Member: Member{ID: old.id}}))
	s.run(60)
	is.True(s.leader() != old)
	is.Equal(old.r.Status().Role, Follower)
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool { return n == old })
}

func otherCluster(is *is.I, s *sim) {
	m := Message{Type: MsgHeartbeat, Cluster: simCluster + 1, From: 2, To: 1, Term: 99}
	is.True(errorx.IsOfType(s.nodes[0].r.Step(m), ErrClusterMismatch))
}

func rolledBack(is *is.I, s *sim) {
	n := s.followers()[0]
	m := Message{Type: MsgHeartbeat, Cluster: simCluster, From: s.leader().id, To: n.id, Term: n.r.term, Commit: 99}
	is.True(errorx.IsOfType(n.r.Step(m), ErrLogRolledBack))
}

// TestVoteIsSynced covers a vote in a term that is already on disk: if the vote were
// not synced before the response is sent, a power failure could make the replica vote
// twice in the term.
func TestVoteIsSynced(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3)
	r := s.nodes[0].r
	is.NoErr(r.Step(Message{Type: MsgVoteResp, Cluster: simCluster, From: 2, To: 1, Term: 5, Reject: true}))
	s.processReady(s.nodes[0], 0)
	is.NoErr(r.Step(Message{Type: MsgVote, Cluster: simCluster, From: 2, To: 1, Term: 5, Index: 9, LogTerm: 4}))
	rd := r.Ready()
	is.True(rd.MustSync)
	is.Equal(rd.HardState.Vote, ReplicaID(2))
	is.Equal(rd.ImmediateMessages, nil)
	is.Equal(rd.Messages[0].Type, MsgVoteResp)
}

// TestOlderTermIsNotCommittedByCount covers figure 8 of the Raft paper: an entry of an
// earlier term on a majority of the disks is not committed by counting replicas.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3)
	n := s.nodes[0]
	n.disk.hard.Term, n.disk.entries = 2, []Entry{{Index: 2, Term: 2}}
	s.start(n)
	for n.r.role != PreCandidate {
		n.r.Tick()
	}
	is.NoErr(n.r.Step(Message{Type: MsgPreVoteResp, Cluster: simCluster, From: 2, To: 1, Term: 3}))
	is.NoErr(n.r.Step(Message{Type: MsgVoteResp, Cluster: simCluster, From: 2, To: 1, Term: 3}))
	s.processReady(n, 0)
	ack := Message{Type: MsgAppendResp, Cluster: simCluster, From: 2, To: 1, Term: 3, Index: 2}
	is.NoErr(n.r.Step(ack))
	is.Equal(n.r.Status().CommitIndex, uint64(1))
	ack.Index = 3
	is.NoErr(n.r.Step(ack))
	is.Equal(n.r.Status().CommitIndex, uint64(3))
}

// TestLiveLeaderIsNotDisrupted covers a vote request from a removed replica.
func TestLiveLeaderIsNotDisrupted(t *testing.T) {
	is := is.New(t)
	s := electedSim(3)
	n, term := s.followers()[0], s.leader().r.term
	vote := Message{Type: MsgVote, Cluster: simCluster, From: 9, To: n.id, Term: term + 5, Index: 99, LogTerm: term + 5}
	is.NoErr(n.r.Step(vote))
	is.Equal(n.r.term, term)
	vote.LeadershipTransfer = true
	is.NoErr(n.r.Step(vote))
	is.Equal(n.r.term, term+5)
}

// TestUnsavedTermSendsNoImmediateMessages covers a sole voter that elects itself: if
// it sent messages before it saved the term, a crash could make it reuse the term.
func TestUnsavedTermSendsNoImmediateMessages(t *testing.T) {
	is := is.New(t)
	hard, snapshot := Bootstrap(simCluster, Member{ID: 1}, Member{ID: 2, IsLearner: true})
	r, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1)), HardState: hard, Snapshot: snapshot})
	is.NoErr(err)
	for r.role != Leader {
		r.Tick()
	}
	rd := r.Ready()
	is.Equal(rd.ImmediateMessages, nil)
	is.Equal(len(rd.Messages), 2) // append and heartbeat
	r.Advance(rd)
	is.NoErr(r.Step(Message{Type: MsgAppendResp, Cluster: hard.Cluster, From: 2, To: 1, Term: 2, Index: 2}))
	is.NoErr(r.Propose(1, nil))
	is.True(len(r.Ready().ImmediateMessages) > 0)
}

func TestNewRejectsInconsistentState(t *testing.T) {
	_, first := Bootstrap(simCluster, Member{ID: 1})
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	cases := []struct {
		name      string
		hard      HardState
		entries   []Entry
		isInvalid bool
	}{
		{"complete log", HardState{Term: 2, Commit: 3}, []Entry{entry(2, 1), entry(3, 2)}, false},
		{"log that starts before the snapshot", HardState{Term: 2}, []Entry{entry(1, 1), entry(2, 2)}, false},
		{"gap after the snapshot", HardState{Term: 2}, []Entry{entry(3, 2)}, true},
		{"gap within the log", HardState{Term: 2}, []Entry{entry(2, 1), entry(4, 1)}, true},
		{"falling terms", HardState{Term: 2}, []Entry{entry(2, 2), entry(3, 1)}, true},
		{"commit beyond the log", HardState{Term: 2, Commit: 9}, []Entry{entry(2, 1)}, true},
		{"term below the log's", HardState{Term: 1}, []Entry{entry(2, 2)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(Config{
				ID: 1, Rand: rand.New(rand.NewPCG(1, 1)),
				HardState: c.hard, Snapshot: first, Entries: c.entries,
			})
			is.Equal(errorx.IsOfType(err, ErrInvalidState), c.isInvalid)
		})
	}
}
