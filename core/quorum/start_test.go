package quorum

import (
	"math/rand/v2"
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

// elect lets two of three replicas run until one leads, and returns the ticks.
func elect(t *testing.T, seed uint64) int {
	t.Helper()
	replicas := map[ReplicaID]*Replica{1: started(t, 1, seed), 2: started(t, 2, seed)}
	for tick := 1; tick < 1000; tick++ {
		for _, id := range []ReplicaID{1, 2} {
			replicas[id].Tick()
		}
		// Messages of one tick cross each other.
		for range 8 {
			var sent []Message
			for _, id := range []ReplicaID{1, 2} {
				rd := replicas[id].Ready()
				sent = append(append(sent, rd.EarlyMessages...), rd.Messages...)
				replicas[id].Advance(rd)
			}
			for _, m := range sent {
				if to := replicas[m.To]; to != nil {
					_ = to.Step(m) // refused messages are part of elections
				}
			}
		}
		if replicas[1].role == Leader || replicas[2].role == Leader {
			return tick
		}
	}
	t.Fatal("no leader")
	return 0
}

func TestSplitVotesAreFollowedByAnotherElectionSoon(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		is.True(elect(t, seed) <= 3*DefaultElectionTicks)
	}
}
