package quorum

import (
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// scheduleSteps is the length of one random schedule before it heals.
const scheduleSteps = 400

// runSchedule returns what went wrong under the faults drawn from seed.
func runSchedule(seed uint64) []string {
	s := newSim(seed, 3+2*int(seed%2))
	s.loss, s.dup, s.delay = s.rnd.Float64()*0.3, s.rnd.Float64()*0.2, s.rnd.IntN(6)
	for _, n := range s.nodes {
		n.speed = 0.7 + s.rnd.Float64()*0.6
	}
	for range scheduleSteps {
		n := s.nodes[s.rnd.IntN(len(s.nodes))]
		s.disturb(n)
		if n.r != nil {
			s.operate(n)
		}
		s.step()
		if len(s.errs) > 0 {
			return s.errs
		}
	}
	s.heal()
	return s.errs
}

// disturb causes a fault at n now and then.
func (s *sim) disturb(n *node) {
	switch dice := s.rnd.IntN(300); {
	case dice < 4 && n.r != nil:
		if dice == 0 {
			s.propose(n)
		}
		s.pump(n, 1+dice%2)
		if n.r != nil {
			s.crash(n)
		}
	case dice < 14 && n.r == nil:
		s.start(n)
	case dice < 18:
		other := s.nodes[s.rnd.IntN(len(s.nodes))]
		s.blocked[[2]ReplicaID{n.id, other.id}] = true // one way
	case dice < 20:
		for _, other := range s.nodes {
			s.blocked[[2]ReplicaID{n.id, other.id}] = true
			s.blocked[[2]ReplicaID{other.id, n.id}] = true
		}
	case dice < 26:
		s.blocked = map[[2]ReplicaID]bool{}
	case dice < 28 && s.lost == 0:
		s.lost = n.id
		s.wipe(n)
	case dice < 30:
		n.speed = float64(s.rnd.IntN(4)) / 2 // 0 is a paused VM
	case dice < 60:
		s.repair()
	}
}

// operate lets a user act on n now and then.
func (s *sim) operate(n *node) {
	switch dice := s.rnd.IntN(100); {
	case dice < 30:
		s.propose(n)
	case dice < 45:
		s.read(n)
	case dice < 47:
		s.compact(n)
	case dice < 48:
		_ = n.r.TransferLeadership(s.nodes[s.rnd.IntN(len(s.nodes))].id)
	}
}

// TestSchedules runs seeded random schedules. QUORUM_SCHEDULES sets how many,
// QUORUM_FIRST_SEED where to start.
func TestSchedules(t *testing.T) {
	count, first := envNumber("QUORUM_SCHEDULES", 300), envNumber("QUORUM_FIRST_SEED", 1)
	workers := envNumber("QUORUM_WORKERS", 2)
	var next atomic.Uint64
	var failed atomic.Bool
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for !failed.Load() {
				i := next.Add(1) - 1
				if i >= count {
					return
				}
				if errs := runSchedule(first + i); len(errs) > 0 {
					failed.Store(true)
					t.Errorf("seed %d: %v", first+i, errs)
				}
			}
		})
	}
	wg.Wait()
}

func envNumber(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}
