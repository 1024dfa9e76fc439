package quorum

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// restartedReplica returns one of three replicas, restored from its disk.
func restartedReplica(t *testing.T, id ReplicaID, seed uint64) *Replica {
	t.Helper()
	hard, snapshot := Bootstrap(1, Member{ID: 1}, Member{ID: 2}, Member{ID: 3})
	r, err := New(Config{ID: id, Rand: rand.New(rand.NewPCG(seed, uint64(id))), HardState: hard, Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// After a restart there may be no leader, so replicas must not wait for a full election
// timeout before they campaign.
func TestReplicasStartedTogetherCampaignWithinMinimumTimeout(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		first := DefaultElectionTicks
		for id := ReplicaID(1); id <= 3; id++ {
			r := restartedReplica(t, id, seed)
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

func TestStartingReplicaDoesNotDisruptLiveLeader(t *testing.T) {
	is := is.New(t)
	follower := restartedReplica(t, 2, 1)
	is.NoErr(follower.Step(Message{Type: MsgHeartbeat, From: 3, To: 2, Cluster: 1, Term: 5}))
	is.NoErr(follower.Step(Message{Type: MsgPreVote, From: 1, To: 2, Cluster: 1, Term: 6, Index: 1, LogTerm: 1}))
	is.Equal(follower.term, uint64(5))
	is.Equal(follower.leader, ReplicaID(3))
}

// ticksUntilElected runs the replicas with the given IDs, out of three, until one is
// leader, and returns the number of ticks.
func ticksUntilElected(t *testing.T, seed uint64, ids ...ReplicaID) int {
	t.Helper()
	replicas := make(map[ReplicaID]*Replica)
	for _, id := range ids {
		replicas[id] = restartedReplica(t, id, seed)
	}
	return ticksUntilLeader(t, replicas)
}

// ticksUntilLeader runs replicas until one is leader and returns the number of ticks.
func ticksUntilLeader(t *testing.T, replicas map[ReplicaID]*Replica) int {
	t.Helper()
	ids := slices.Sorted(maps.Keys(replicas))
	for tick := 1; tick < 1000; tick++ {
		for _, id := range ids {
			replicas[id].Tick()
		}
		// Messages sent in the same tick are in flight at the same time.
		for range 8 {
			var sent []Message
			for _, id := range ids {
				rd := replicas[id].Ready()
				sent = append(append(sent, rd.ImmediateMessages...), rd.Messages...)
				replicas[id].Advance(rd)
			}
			for _, m := range sent {
				if to := replicas[m.To]; to != nil {
					_ = to.Step(m) // elections involve rejected messages
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

// splitVote returns replicas 1 and 2 of three after both have voted for themselves in the
// same term: replica 3 has granted both pre-votes and has gone since.
func splitVote(t *testing.T, seed uint64) map[ReplicaID]*Replica {
	t.Helper()
	is := is.New(t)
	replicas := make(map[ReplicaID]*Replica)
	for id := ReplicaID(1); id <= 2; id++ {
		r := restartedReplica(t, id, seed)
		r.Tick()
		is.Equal(r.role, PreCandidate)
		is.NoErr(r.Step(Message{Type: MsgPreVoteResp, From: 3, To: id, Cluster: 1, Term: r.term + 1}))
		is.Equal(r.role, Candidate)
		is.Equal(r.vote, id)
		takeMessages(r, 3) // its requests are lost
		replicas[id] = r
	}
	is.Equal(replicas[1].term, replicas[2].term)
	return replicas
}

func TestElectionCompletesSoonAfterSplitVote(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		is.True(ticksUntilLeader(t, splitVote(t, seed)) <= 3*DefaultElectionTicks)
	}
}

// After all processes were lost, there is no leader to wait for. Replicas that request
// votes at the same time must not split them.
func TestReplicasStartedTogetherElectLeaderAtFirstTick(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		is.Equal(ticksUntilElected(t, seed, 1, 2, 3), 1)
		is.Equal(ticksUntilElected(t, seed, 1, 2), 1)
		is.Equal(ticksUntilElected(t, seed, 2, 3), 1)
	}
}

// A pre-vote request that was delayed until its recipient started arrives while the
// recipient's own request is in flight. One of the two replicas must abandon its
// pre-vote.
func TestConcurrentPreVotesElectOneLeader(t *testing.T) {
	is := is.New(t)
	for _, ids := range [][2]ReplicaID{{1, 2}, {2, 1}} {
		early, late := restartedReplica(t, ids[0], 1), restartedReplica(t, ids[1], 1)
		early.Tick()
		delayed := takeMessages(early, late.id)
		early.Tick() // its campaign started in an earlier tick
		late.Tick()
		request := takeMessages(late, early.id)
		exchange(t, late, early, delayed, request)
		is.True((early.role == Leader) != (late.role == Leader))
	}
}

// takeMessages returns the outgoing messages of r for another replica and advances r.
func takeMessages(r *Replica, to ReplicaID) []Message {
	rd := r.Ready()
	r.Advance(rd)
	return slices.DeleteFunc(slices.Concat(rd.ImmediateMessages, rd.Messages), func(m Message) bool { return m.To != to })
}

// exchange delivers the messages of two replicas until neither sends more.
func exchange(t *testing.T, a, b *Replica, toA, toB []Message) {
	t.Helper()
	for len(toA)+len(toB) > 0 {
		for _, m := range toA {
			_ = a.Step(m) // elections involve rejected messages
		}
		for _, m := range toB {
			_ = b.Step(m)
		}
		toA, toB = takeMessages(b, a.id), takeMessages(a, b.id)
	}
}

// A replica grants its pre-vote to a longer log even during its own campaign.
func TestPreVoteIsGrantedToLongerLog(t *testing.T) {
	is := is.New(t)
	r := restartedReplica(t, 3, 1)
	r.Tick()
	is.NoErr(r.Step(Message{Type: MsgPreVote, From: 1, To: 3, Cluster: 1, Term: r.term + 1, Index: 2, LogTerm: 1}))
	responses := takeMessages(r, 1)
	is.True(!responses[len(responses)-1].Reject)
	is.Equal(r.role, Follower)
}

// A replica whose campaign started in an earlier tick must not block other campaigns:
// it may be a replica that receives no responses.
func TestOnlyCampaignOfCurrentTickRejectsPreVote(t *testing.T) {
	is := is.New(t)
	r := restartedReplica(t, 3, 1)
	r.Tick()
	is.Equal(r.role, PreCandidate)
	requestPreVote := func() bool {
		is.NoErr(r.Step(Message{Type: MsgPreVote, From: 1, To: 3, Cluster: 1, Term: r.term + 1, Index: 1, LogTerm: 1}))
		rd := r.Ready()
		r.Advance(rd)
		responses := slices.Concat(rd.ImmediateMessages, rd.Messages)
		return !responses[len(responses)-1].Reject
	}
	is.True(!requestPreVote())
	r.Tick()
	is.True(requestPreVote())
}
