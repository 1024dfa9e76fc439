package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// The simulated group's times, in steps of 10 ms: a tick of 100 ms, messages under way for
// one or two steps, and the answer of a killed leader's VM to a follower that has missed
// three heartbeats and asks once a tick.
const (
	stepsPerTick    = 10
	noticeAfterTick = 3
)

// failover is a group whose leader is killed or paused.
type failover struct {
	random   *rand.Rand
	replicas map[ReplicaID]*Replica
	offset   map[ReplicaID]int // step of a replica's ticks
	silent   map[ReplicaID]int // ticks since the latest message of the leader
	paused   map[ReplicaID]int // step until which a replica neither ticks nor receives
	inFlight map[int][]Message // by the step of arrival
	step     int
}

func newFailover(t *testing.T, seed uint64, n int) *failover {
	f := &failover{
		random:   rand.New(rand.NewPCG(seed, 7)),
		replicas: map[ReplicaID]*Replica{}, offset: map[ReplicaID]int{}, silent: map[ReplicaID]int{}, paused: map[ReplicaID]int{}, inFlight: map[int][]Message{},
	}
	var members []Member
	for id := range n {
		members = append(members, Member{ID: ReplicaID(id + 1)})
	}
	hard, snapshot := Bootstrap(1, members...)
	for _, m := range members {
		r, err := New(Config{ID: m.ID, Rand: f.random, HardState: hard, Snapshot: snapshot})
		is.New(t).NoErr(err)
		f.replicas[m.ID], f.offset[m.ID] = r, f.random.IntN(stepsPerTick)
	}
	return f
}

// run runs one step. With notice, followers report a killed leader's end.
func (f *failover) run(killed ReplicaID, notice bool) {
	f.step++
	arriving := f.inFlight[f.step]
	delete(f.inFlight, f.step)
	for id := ReplicaID(1); int(id) <= len(f.replicas); id++ {
		r := f.replicas[id]
		if id == killed {
			continue
		}
		if f.step < f.paused[id] {
			for _, m := range arriving { // a paused process reads them when it goes on
				if m.To == id {
					f.inFlight[f.paused[id]] = append(f.inFlight[f.paused[id]], m)
				}
			}
			continue
		}
		for _, m := range arriving {
			if m.To == id {
				_ = r.Step(m) // elections involve rejected messages
				if m.From == r.leader {
					f.silent[id] = 0
				}
			}
		}
		if f.step%stepsPerTick == f.offset[id] {
			r.Tick()
			f.silent[id]++
			if notice && r.leader == killed && f.silent[id] > noticeAfterTick {
				r.LeaderGone(killed, r.term)
			}
		}
		rd := r.Ready()
		r.Advance(rd)
		for _, m := range append(rd.ImmediateMessages, rd.Messages...) {
			at := f.step + 1 + f.random.IntN(2)
			f.inFlight[at] = append(f.inFlight[at], m)
		}
	}
}

func (f *failover) leader(except ReplicaID) ReplicaID {
	for id, r := range f.replicas {
		if r.role == Leader && id != except {
			return id
		}
	}
	return 0
}

func (f *failover) awaitLeader(t *testing.T, killed ReplicaID, notice bool) (leader ReplicaID, steps int) {
	t.Helper()
	for steps = range 10_000 {
		if leader = f.leader(killed); leader != 0 {
			return leader, steps
		}
		f.run(killed, notice)
	}
	t.Fatal("no leader")
	return 0, 0
}

// A killed leader is replaced in half the time where its VM says that its process has
// ended, since the election timeout must outlast pauses.
func TestKilledLeaderIsReplacedSooner(t *testing.T) {
	is := is.New(t)
	const seeds = 300
	for _, n := range []int{3, 5} {
		var total, longest [2]int // of the steps without and with notice
		for i := range total {
			for seed := range uint64(seeds) {
				f := newFailover(t, seed, n)
				killed, _ := f.awaitLeader(t, 0, false)
				for range 20 * stepsPerTick {
					f.run(0, false)
				}
				leader, steps := f.awaitLeader(t, killed, i == 1)
				is.True(leader != killed)
				total[i], longest[i] = total[i]+steps, max(longest[i], steps)
			}
		}
		t.Logf("%d replicas: without notice %d ms at the mean and %d at most, with it %d and %d",
			n, total[0]*10/seeds, longest[0]*10, total[1]*10/seeds, longest[1]*10)
		is.True(total[1]*2 < total[0])
		is.True(longest[1] <= longest[0])
	}
}

// Pauses of the leader cause as many elections as before: nothing is reported of them.
func TestPausesCauseNoMoreElections(t *testing.T) {
	is := is.New(t)
	elections := func(notice bool) (terms uint64) {
		for seed := range uint64(100) {
			f := newFailover(t, seed, 3)
			f.awaitLeader(t, 0, notice)
			for range 50 {
				if leader := f.leader(0); leader != 0 {
					f.paused[leader] = f.step + f.random.IntN(15*stepsPerTick) // up to 1.5 s
				}
				for range 25 * stepsPerTick {
					f.run(0, notice)
				}
			}
			for _, r := range f.replicas {
				terms += r.term
			}
		}
		return terms
	}
	before, after := elections(false), elections(true)
	t.Logf("5000 pauses of the leader of up to 1.5 s: sum of the terms of 3 replicas %d, and %d where ends are reported", before, after)
	is.Equal(after, before)
}

func TestOnlyTheEndOfTheKnownLeaderIsTaken(t *testing.T) {
	is := is.New(t)
	r := restartedReplica(t, 2, 1)
	is.NoErr(r.Step(Message{Type: MsgHeartbeat, From: 3, To: 2, Cluster: 1, Term: 5}))
	r.LeaderGone(0, 5)
	r.LeaderGone(1, 5)
	r.LeaderGone(3, 4)
	is.Equal(r.role, Follower)
	is.Equal(r.leader, ReplicaID(3))
	r.LeaderGone(3, 5)
	is.Equal(r.role, PreCandidate)
	is.Equal(r.term, uint64(5)) // a pre-vote disrupts nobody
}
