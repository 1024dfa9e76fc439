package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// catchUp is how long a machine counts as lost after the start of its process.
	catchUp = 4 * time.Second
	// silentLoss is how long a machine that goes without a word counts as lost: an
	// election, the silence of a voter and the changes that follow.
	silentLoss = 2 * time.Second
	// recovery is how soon a group serves again once all its machines are back.
	recovery = 12 * time.Second
	lossTime = 120 * time.Second
)

// losses makes machines depart, restart and lose their disks, so that at no time more of
// them count as lost than the group tolerates.
type losses struct {
	*groupSim
	tolerated int
	countedTo []time.Duration // when each of the current losses stops counting
	later     map[int][]func()
	lost      map[*machine]bool // down, or gone
}

func (l *losses) now() time.Duration { return time.Duration(l.ticks) * tick }

func (l *losses) after(d time.Duration, f func()) {
	at := l.ticks + max(1, int(d/tick))
	l.later[at] = append(l.later[at], f)
}

// budget reports whether another machine may be lost now.
func (l *losses) budget() bool {
	l.countedTo = slices.DeleteFunc(l.countedTo, func(end time.Duration) bool { return end <= l.now() })
	return len(l.countedTo) < l.tolerated
}

func (l *losses) count(d time.Duration) { l.countedTo = append(l.countedTo, l.now()+d) }

func (l *losses) pick() *machine {
	var up []*machine
	for _, m := range l.machines {
		if m.r != nil && m.stopping == 0 && !l.lost[m] {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[l.rng.IntN(len(up))]
}

func (l *losses) startAfter(m *machine, d time.Duration) {
	l.lost[m] = true
	l.after(d, func() {
		l.start(m)
		delete(l.lost, m)
	})
}

// next makes the next thing happen, if one may.
func (l *losses) next() {
	m := l.pick()
	if m == nil || !l.budget() {
		return
	}
	down := time.Duration(l.rng.IntN(3000)) * time.Millisecond
	switch l.rng.IntN(5) {
	case 0: // its disk
		l.count(down + catchUp)
		l.kill(m)
		l.wipe(m)
		l.startAfter(m, down)
	case 1: // its process
		l.count(down + catchUp)
		l.kill(m)
		l.startAfter(m, down)
	case 2: // a restart as planned
		down += (leaveTicks + 1) * tick // it stops before at the latest
		l.count(down + catchUp)
		l.terminate(m)
		l.startAfter(m, down)
	case 3:
		l.replace(m)
	default:
		l.depart(m, down)
	}
}

// depart has m depart for good, and its successor start some time later.
func (l *losses) depart(m *machine, until time.Duration) {
	l.count(until + catchUp)
	l.lost[m] = true
	if l.rng.IntN(2) == 0 {
		l.kill(m)
	} else {
		l.terminate(m)
	}
	l.after(until, func() { l.start(l.addMachine()) })
}

// replace adds the successor of m, and has m depart for good some time later. m does
// not count as lost once it has gone as planned, and for silentLoss if it is killed.
func (l *losses) replace(m *machine) {
	l.start(l.addMachine())
	l.count(catchUp)
	l.after(catchUp+time.Duration(l.rng.IntN(2000))*time.Millisecond, func() {
		if m.r == nil || l.lost[m] || !l.budget() {
			return // it is lost by now, or must not go yet
		}
		l.lost[m] = true
		if l.rng.IntN(2) == 0 {
			l.count(silentLoss)
			l.kill(m)
			return
		}
		l.countUntilStopped(m)
		l.terminate(m)
	})
}

func (l *losses) countUntilStopped(m *machine) {
	l.count(tick)
	l.after(tick, func() {
		if m.stopping > 0 {
			l.countUntilStopped(m)
		}
	})
}

func (l *losses) run(d time.Duration, f func()) {
	for range int(d / tick) {
		for _, due := range l.later[l.ticks] {
			due()
		}
		delete(l.later, l.ticks)
		f()
		l.step()
	}
}

// Guards against the loss of the group, or of what it has acknowledged, by departures and
// losses of which the group must bear each: a vote that stays with a machine that has
// gone makes the next loss one too many.
func TestGroupSurvivesDeparturesAndLossesInAnyOrder(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		for seed := range uint64(100) {
			t.Run(fmt.Sprintf("tolerates %d/seed %d", tolerated, seed), func(t *testing.T) {
				t.Parallel()
				playLosses(t, seed, tolerated)
			})
		}
	}
}

func playLosses(t *testing.T, seed uint64, tolerated int) {
	l := &losses{
		groupSim: newGroupSim(seed, 2*tolerated+1), tolerated: tolerated,
		later: map[int][]func(){}, lost: map[*machine]bool{},
	}
	l.run(catchUp, func() {})
	l.run(lossTime, func() {
		if l.rng.IntN(4) == 0 {
			l.propose()
		}
		if l.rng.IntN(10) == 0 {
			l.next()
		}
	})
	l.run(recovery, func() {}) // whoever is to come back does
	before := len(l.acked)
	l.run(recovery, func() {
		if l.ticks%reconcileTicks == 0 {
			l.propose()
		}
	})
	for _, failure := range l.failures {
		t.Error(failure)
	}
	if before == 0 || len(l.acked) == before {
		t.Log(strings.Join(l.events, "\n"))
		t.Fatalf("the group acknowledges nothing any more, %d acknowledged before", before)
	}
	if missing := l.missing(); len(missing) > 0 {
		t.Errorf("%d of %d acknowledged commands are lost", len(missing), len(l.acked))
	}
}

// missing returns the acknowledged commands that the leader does not hold. The leader
// may hold them in the snapshot, which this simulation takes at the foundation alone.
func (l *losses) missing() []uint64 {
	leader := l.leader()
	if leader == nil {
		return l.acked
	}
	held := make(map[uint64]bool, len(leader.applied))
	for _, id := range leader.applied {
		held[id] = true
	}
	return slices.DeleteFunc(slices.Clone(l.acked), func(id uint64) bool { return held[id] })
}
