package quorum

import (
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// scheduleSteps is the number of steps of a random schedule before its faults end.
const scheduleSteps = 400

// runSchedule runs the random schedule with the given seed and returns the failures.
func runSchedule(seed uint64) []string {
	s := newSim(seed, 3+2*int(seed%2))
	s.loss, s.duplication, s.delay = s.rng.Float64()*0.3, s.rng.Float64()*0.2, s.rng.IntN(6)
	for _, n := range s.nodes {
		n.clockRate = 0.7 + s.rng.Float64()*0.6
	}
	for range scheduleSteps {
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		s.injectFault(n)
		if n.r != nil {
			s.issueRequest(n)
		}
		s.step()
		if len(s.failures) > 0 {
			return s.failures
		}
	}
	s.heal()
	return s.failures
}

// injectFault causes a random fault at n with a small probability.
func (s *sim) injectFault(n *node) {
	switch roll := s.rng.IntN(300); {
	case roll < 4 && n.r != nil:
		if roll == 0 {
			s.propose(n)
		}
		s.processReady(n, 1+roll%2)
		if n.r != nil {
			s.crash(n)
		}
	case roll < 14 && n.r == nil:
		s.start(n)
	case roll < 18:
		other := s.nodes[s.rng.IntN(len(s.nodes))]
		s.blocked[[2]ReplicaID{n.id, other.id}] = true // one direction only
	case roll < 20:
		for _, other := range s.nodes {
			s.blocked[[2]ReplicaID{n.id, other.id}] = true
			s.blocked[[2]ReplicaID{other.id, n.id}] = true
		}
	case roll < 26:
		s.blocked = map[[2]ReplicaID]bool{}
	case roll < 28 && s.lostID == 0:
		s.lostID = n.id
		s.replaceDisk(n)
	case roll < 30:
		n.clockRate = float64(s.rng.IntN(4)) / 2 // 0 is a paused VM
	case roll < 60:
		s.repair()
	}
}

// issueRequest issues a random user or operator request to n.
func (s *sim) issueRequest(n *node) {
	switch roll := s.rng.IntN(100); {
	case roll < 30:
		s.propose(n)
	case roll < 45:
		s.read(n)
	case roll < 47:
		s.compact(n)
	case roll < 48:
		_ = n.r.TransferLeadership(s.nodes[s.rng.IntN(len(s.nodes))].id)
	}
}

// TestSchedules runs random schedules of faults and requests. QUORUM_SCHEDULES sets
// their number, QUORUM_FIRST_SEED the first seed and QUORUM_WORKERS the number that
// run concurrently.
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

func envNumber(name string, defaultValue uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return defaultValue
	}
	return n
}
