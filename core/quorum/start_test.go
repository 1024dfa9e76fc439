package quorum

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// started returns a replica of three as its disk holds it after a restart.
func started(t *testing.T, id ReplicaID, seed uint64) *Replica {
	t.Helper()
	hard, snapshot := Bootstrap(1, Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	r, err := New(Config{ID: id, Rand: rand.New(rand.NewPCG(seed, uint64(id))), HardState: hard, Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestReplicasThatStartTogetherElectWithinOneShortTimeout(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		first := DefaultElectionTicks
		for id := ReplicaID(1); id <= 3; id++ {
			r := started(t, id, seed)
			for tick := 1; r.role == Follower; tick++ {
				r.Tick()
				if r.role != Follower {
					first = min(first, tick)
				}
			}
		}
		is.True(first < DefaultElectionTicks)
	}
}

func TestReplicaThatStartsDisturbsNoLiveLeader(t *testing.T) {
	is := is.New(t)
	follower := started(t, 2, 1)
	is.NoErr(follower.Step(Message{Type: MsgHeartbeat, From: 3, To: 2, Cluster: 1, Term: 5}))
	is.NoErr(follower.Step(Message{Type: MsgPreVote, From: 1, To: 2, Cluster: 1, Term: 6, Index: 1, LogTerm: 1}))
	is.Equal(follower.term, uint64(5))
	is.Equal(follower.leader, ReplicaID(3))
}

// elect lets replicas, of three, run until one leads, and returns the ticks.
func elect(t *testing.T, seed uint64, ids ...ReplicaID) int {
	t.Helper()
	replicas := make(map[ReplicaID]*Replica)
	for _, id := range ids {
		replicas[id] = started(t, id, seed)
	}
	for tick := 1; tick < 1000; tick++ {
		for _, id := range ids {
			replicas[id].Tick()
		}
		// Messages of one tick cross each other.
		for range 8 {
			var sent []Message
			for _, id := range ids {
				rd := replicas[id].Ready()
				sent = append(append(sent, rd.ImmediateMessages...), rd.Messages...)
				replicas[id].Advance(rd)
			}
			for _, m := range sent {
				if to := replicas[m.To]; to != nil {
					_ = to.Step(m) // refused messages are part of elections
				}
			}
		}
		for _, id := range ids {
			if replicas[id].role == Leader {
				return tick
			}
		}
	}
	t.Fatal("no leader")
	return 0
}

func TestSplitVotesAreFollowedByAnotherElectionSoon(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		is.True(elect(t, seed, 1, 2) <= 3*DefaultElectionTicks)
	}
}

// There is nobody to wait for after the loss of all processes, and replicas that
// ask at the same time do not split the votes.
func TestReplicasThatStartTogetherElectAtTheirFirstTick(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		is.Equal(elect(t, seed, 1, 2, 3), 1)
		is.Equal(elect(t, seed, 1, 2), 1)
		is.Equal(elect(t, seed, 2, 3), 1)
	}
}

// A request that waited until its receiver was there crosses that one's own. Of two
// that ask, one gives way.
func TestCrossingPreVotesElectOneOfTwo(t *testing.T) {
	is := is.New(t)
	for _, ids := range [][2]ReplicaID{{1, 2}, {2, 1}} {
		early, late := started(t, ids[0], 1), started(t, ids[1], 1)
		early.Tick()
		waiting := sentTo(early, late.id)
		early.Tick() // its campaign is not fresh any more
		late.Tick()
		asks := sentTo(late, early.id)
		exchange(t, late, early, waiting, asks)
		is.True((early.role == Leader) != (late.role == Leader))
	}
}

// sentTo returns what a replica has to send to another one.
func sentTo(r *Replica, to ReplicaID) []Message {
	rd := r.Ready()
	r.Advance(rd)
	return slices.DeleteFunc(slices.Concat(rd.ImmediateMessages, rd.Messages), func(m Message) bool { return m.To != to })
}

// exchange delivers what two replicas have sent until neither has anything to say.
func exchange(t *testing.T, a, b *Replica, toA, toB []Message) {
	t.Helper()
	for len(toA)+len(toB) > 0 {
		for _, m := range toA {
			_ = a.Step(m) // refused messages are part of elections
		}
		for _, m := range toB {
			_ = b.Step(m)
		}
		toA, toB = sentTo(b, a.id), sentTo(a, b.id)
	}
}

// A replica gives its vote to a longer log, whatever its own campaign.
func TestLongerLogsGoFirst(t *testing.T) {
	is := is.New(t)
	r := started(t, 3, 1)
	r.Tick()
	is.NoErr(r.Step(Message{Type: MsgPreVote, From: 1, To: 3, Cluster: 1, Term: r.term + 1, Index: 2, LogTerm: 1}))
	answers := sentTo(r, 1)
	is.True(!answers[len(answers)-1].Reject)
	is.Equal(r.role, Follower)
}

// A replica that asked for votes a while ago does not stand in the way of others:
// it may be one that nobody's answers reach.
func TestOnlyAFreshCampaignRefusesAnother(t *testing.T) {
	is := is.New(t)
	r := started(t, 3, 1)
	r.Tick()
	is.Equal(r.role, PreCandidate)
	ask := func() bool {
		is.NoErr(r.Step(Message{Type: MsgPreVote, From: 1, To: 3, Cluster: 1, Term: r.term + 1, Index: 1, LogTerm: 1}))
		rd := r.Ready()
		r.Advance(rd)
		answers := slices.Concat(rd.ImmediateMessages, rd.Messages)
		return !answers[len(answers)-1].Reject
	}
	is.True(!ask())
	r.Tick()
	is.True(ask())
}
