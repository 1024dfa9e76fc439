package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// The simulated load on backend servers that have just started after an outage: all the
// callers that waited through it, and new callers at a steady rate.
const (
	surgeServers        = 6
	surgeSlots          = 4
	surgeQueue          = 16
	surgeColdTime       = 51 * time.Millisecond // service time of a backend server that has just started
	surgeWarmTime       = 32 * time.Millisecond
	surgeWarmAt         = time.Second
	surgeRate           = 400 // new callers a second
	surgeOutage         = 1500 * time.Millisecond
	surgeDuration       = 2 * time.Second // new callers, from the end of the outage
	surgeWaitingCallers = int(surgeRate * surgeOutage / time.Second)
	surgeTarget         = 200 * time.Millisecond
	surgeReportInterval = 100 * time.Millisecond
	surgeTimeout        = 1500 * time.Millisecond
	surgeMaxAttempts    = 3
	surgeRetryDelay     = 12 * time.Millisecond // from a rejection to the next attempt
)

// attempt is the next SYN of one attempt of a caller.
type attempt struct {
	at              time.Duration
	caller          int
	retransmits     uint32
	startedAt       time.Duration // arrival of the attempt's first SYN
	earlierAttempts int
}

// surge simulates the load under a placement policy.
type surge struct {
	policy    func(now time.Duration, s *Segment) Decision
	report    func(now time.Duration, seed uint64, load Load)
	firstSYNs []time.Duration // arrival of each caller's first SYN
	pending   []attempt
	// slotFreeAt holds when each slot of a server becomes free, finishAt when each of its
	// requests finishes.
	slotFreeAt map[uint64][]time.Duration
	finishAt   map[uint64][]time.Duration
	// served counts the callers answered before their timeout, withinTarget those answered
	// within surgeTarget, and newWithinTarget those of them that arrived after the outage.
	served, withinTarget, newWithinTarget int
}

func newSurge(seed uint64) *surge {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &surge{slotFreeAt: make(map[uint64][]time.Duration), finishAt: make(map[uint64][]time.Duration)}
	for n := range surgeServers {
		s.slotFreeAt[view.SeedOf(server(n+1).ID)] = make([]time.Duration, surgeSlots)
	}
	for range surgeWaitingCallers {
		s.firstSYNs = append(s.firstSYNs, -time.Duration(random.Int64N(int64(surgeOutage))))
	}
	for range int(surgeRate * surgeDuration / time.Second) {
		s.firstSYNs = append(s.firstSYNs, time.Duration(random.Int64N(int64(surgeDuration))))
	}
	for n, at := range s.firstSYNs {
		s.pending = append(s.pending, attempt{at: at, caller: n, startedAt: at})
	}
	return s
}

func (s *surge) run() {
	nextReport := time.Duration(0)
	for len(s.pending) > 0 {
		i := 0
		for j := range s.pending {
			if cmp.Compare(s.pending[j].at, s.pending[i].at) < 0 {
				i = j
			}
		}
		a := s.pending[i]
		s.pending = slices.Delete(s.pending, i, i+1)
		for ; nextReport <= a.at; nextReport += surgeReportInterval {
			for seed := range s.slotFreeAt {
				s.report(nextReport, seed, Load{RunningRequests: uint32(s.running(seed, nextReport))})
			}
		}
		s.deliver(a)
	}
}

func (s *surge) running(seed uint64, now time.Duration) int {
	s.finishAt[seed] = slices.DeleteFunc(s.finishAt[seed], func(end time.Duration) bool { return end <= now })
	return len(s.finishAt[seed])
}

// deliver passes one SYN to the policy. As callers do, it retransmits a dropped SYN, and
// makes a new attempt from another port after a reset or a full server.
func (s *surge) deliver(a attempt) {
	if a.at < 0 {
		s.retransmit(a) // no process answers during the outage
		return
	}
	segment := syn(a.caller + a.earlierAttempts*len(s.firstSYNs))
	segment.Retransmits = a.retransmits
	d := s.policy(a.at, segment)
	to := d.To
	switch {
	case d.Verdict == Drop:
		s.retransmit(a)
		return
	case d.Verdict == Reset, s.running(to.Seed, a.at) >= surgeSlots+surgeQueue:
		s.retry(a)
		return
	}
	slot := slices.Index(s.slotFreeAt[to.Seed], slices.Min(s.slotFreeAt[to.Seed]))
	start := max(s.slotFreeAt[to.Seed][slot], a.at)
	end := start + surgeColdTime
	if start >= surgeWarmAt {
		end = start + surgeWarmTime
	}
	s.slotFreeAt[to.Seed][slot] = end
	s.finishAt[to.Seed] = append(s.finishAt[to.Seed], end)
	if end-s.firstSYNs[a.caller] <= surgeTimeout {
		s.served++
	}
	if end-s.firstSYNs[a.caller] <= surgeTarget {
		s.withinTarget++
		if a.caller >= surgeWaitingCallers {
			s.newWithinTarget++
		}
	}
}

// retransmitAfter are the delays of a SYN's retransmissions after the first SYN.
var retransmitAfter = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

func (s *surge) retransmit(a attempt) {
	if int(a.retransmits) == len(retransmitAfter) {
		a.at = a.startedAt + 1400*time.Millisecond // the caller abandons the attempt
		s.retry(a)
		return
	}
	a.at = a.startedAt + retransmitAfter[a.retransmits]
	a.retransmits++
	s.pending = append(s.pending, a)
}

func (s *surge) retry(a attempt) {
	a.earlierAttempts++
	a.at += surgeRetryDelay
	if a.earlierAttempts < surgeMaxAttempts && a.at-s.firstSYNs[a.caller] < surgeTimeout {
		a.retransmits, a.startedAt = 0, a.at
		s.pending = append(s.pending, a)
	}
}

// A policy that places every SYN at once fills all queues: backend servers reject the
// excess, and callers use up their attempts within milliseconds. A policy that treats
// retransmitted SYNs like first ones keeps the queues full of callers that are late
// already, and so delays new callers beyond their target.
func TestOverloadLimitsServeMoreCallersInSurge(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		unlimited, limited := newSurge(seed), newSurge(seed)
		unlimitedBalancer := newBalancer(servers(1, surgeServers)...)
		unlimited.report = func(now time.Duration, seed uint64, load Load) {
			unlimitedBalancer.ReportLoad(now, testService, seed, load)
		}
		unlimited.policy = func(now time.Duration, s *Segment) Decision {
			first := unlimitedBalancer.Table().placementCandidates(s.Tuple.ID().Key, testService)
			return Decision{To: unlimitedBalancer.loads.selectLeastLoaded(now, first, "a").peer}
		}
		unlimited.run()
		limitedBalancer := newBalancer(servers(1, surgeServers)...)
		limited.report = func(now time.Duration, seed uint64, load Load) {
			limitedBalancer.ReportLoad(now, testService, seed, load)
		}
		limited.policy = limitedBalancer.Steer
		limited.run()
		t.Logf("seed %d, %d callers: without limits %d within target, %d served, %d new within target; with limits %d, %d and %d",
			seed, len(limited.firstSYNs), unlimited.withinTarget, unlimited.served, unlimited.newWithinTarget, limited.withinTarget, limited.served, limited.newWithinTarget)
		is.True(limited.served*10 >= unlimited.served*11)                 // at least 10% more callers are served
		is.True(limited.newWithinTarget*4 >= unlimited.newWithinTarget*3) // at most 25% fewer new callers meet the target
	}
}
