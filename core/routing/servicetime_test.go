package routing

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// meteredServer simulates a backend server with slots and a first-come queue beside its
// agent, and callers whose requests open a flow each.
type meteredServer struct {
	agent      *Agent
	random     *rand.Rand
	serviceFor func(now time.Duration) time.Duration
	slots      int
	queue      int
	now        time.Duration
	sent       int
	busyUntil  []time.Duration
	endings    []ending
	// unanswered is the service time from which a request gets no answer and keeps no
	// slot: its caller gives up after two seconds. 0 means that all are answered.
	unanswered time.Duration
	abandoned  []ending
}

// ending is the end of a flow's request.
type ending struct {
	at   time.Duration
	flow int
}

func newMeteredServer(seed uint64, slots int, service func(now time.Duration) time.Duration) *meteredServer {
	s := &meteredServer{
		agent: newAgent(BackendServing, true), random: rand.New(rand.NewPCG(seed, 2)), serviceFor: service,
		slots: slots, queue: 16, busyUntil: make([]time.Duration, slots),
	}
	s.agent.SetSlots(slots)
	return s
}

// run sends requests at a rate a second for d.
func (s *meteredServer) run(d time.Duration, rate float64) {
	end, nextTick := s.now+d, s.now
	for s.now < end {
		at := s.now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
		for ; nextTick < min(at, end); nextTick += 100 * time.Millisecond {
			s.answerUntil(nextTick)
			s.abandonUntil(nextTick)
			s.agent.Tick(nextTick)
		}
		s.now = min(at, end)
		s.answerUntil(s.now)
		if at < end {
			s.send(at)
		}
	}
}

func (s *meteredServer) send(at time.Duration) {
	s.sent++
	s.agent.Receive(at, meteredSegment(s.sent, SYN, 0), forwardInfo(5))
	s.agent.ObserveReply(at, meteredSegment(s.sent, SYN|ACK, 0))
	s.agent.Receive(at, meteredSegment(s.sent, ACK, 100), forwardInfo(5))
	if len(s.endings) >= s.slots+s.queue {
		s.answer(ending{at + 200*time.Microsecond, s.sent}) // rejected at once
		return
	}
	service := s.serviceFor(at)
	if s.unanswered > 0 && service >= s.unanswered {
		s.abandoned = append(s.abandoned, ending{at + 2*time.Second, s.sent})
		return
	}
	slot := slices.Index(s.busyUntil, slices.Min(s.busyUntil))
	took := time.Duration(s.random.ExpFloat64() * float64(service))
	s.busyUntil[slot] = max(s.busyUntil[slot], at) + took
	s.endings = append(s.endings, ending{s.busyUntil[slot], s.sent})
}

func (s *meteredServer) answerUntil(now time.Duration) {
	slices.SortFunc(s.endings, func(a, b ending) int { return int(a.at - b.at) })
	for len(s.endings) > 0 && s.endings[0].at <= now {
		s.answer(s.endings[0])
		s.endings = s.endings[1:]
	}
}

// abandonUntil ends the flows whose callers have given up.
func (s *meteredServer) abandonUntil(now time.Duration) {
	for len(s.abandoned) > 0 && s.abandoned[0].at <= now {
		e := s.abandoned[0]
		s.agent.Receive(e.at, meteredSegment(e.flow, RST, 0), forwardInfo(5))
		s.abandoned = s.abandoned[1:]
	}
}

func (s *meteredServer) answer(e ending) {
	s.agent.ObserveReply(e.at, meteredSegment(e.flow, ACK, 500))
	s.agent.Receive(e.at, meteredSegment(e.flow, FIN|ACK, 0), forwardInfo(5))
	s.agent.ObserveReply(e.at, meteredSegment(e.flow, RST, 0))
}

// meteredSegment returns a segment of one of many flows.
func meteredSegment(n int, flags Flags, length int) *Segment {
	s := &Segment{Tuple: tuple(1), Flags: flags, Length: length, Seq: 1}
	s.Tuple.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
	return s
}

func (s *meteredServer) estimate() time.Duration {
	return time.Duration(s.agent.Load().ServiceTime) * time.Microsecond
}

func constant(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

func isWithin(d, want time.Duration, share float64) bool {
	return float64(d) >= float64(want)*(1-share) && float64(d) <= float64(want)*(1+share)
}

// The estimate must be the same whether the backend server is nearly idle, busy, or so
// full that requests wait or are rejected.
func TestServiceTimeDoesNotDependOnLoad(t *testing.T) {
	for _, tt := range []struct {
		name string
		rate float64 // a second; 100 is the capacity
	}{{"nearly idle", 5}, {"busy", 80}, {"overloaded", 150}} {
		for seed := range uint64(5) {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s := newMeteredServer(seed, 4, constant(40*time.Millisecond))
				is.Equal(s.estimate(), time.Duration(0)) // nothing was measured yet
				s.run(20*time.Second, tt.rate)
				t.Log("estimate", s.estimate())
				is.True(isWithin(s.estimate(), 40*time.Millisecond, 0.35))
			})
		}
	}
}

// After two seconds and some 40 requests the estimate is nearer to the new service time
// than to the one before: beyond their geometric mean.
func TestServiceTimeFollowsChangeWithinTwoSeconds(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after time.Duration
	}{{"slower", 40 * time.Millisecond, 160 * time.Millisecond}, {"faster again", 160 * time.Millisecond, 40 * time.Millisecond}} {
		for seed := range uint64(5) {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				changed := 10 * time.Second
				s := newMeteredServer(seed, 4, func(now time.Duration) time.Duration {
					if now < changed {
						return tt.before
					}
					return tt.after
				})
				s.run(changed, 20)
				is.True(isWithin(s.estimate(), tt.before, 0.4))
				s.run(2*time.Second, 20)
				t.Log("estimate", s.estimate())
				const between = 80 * time.Millisecond
				is.Equal(s.estimate() > between, tt.after > between)
				is.True(isWithin(s.estimate(), tt.after, 0.7))
			})
		}
	}
}

func TestServiceTimeIsKeptWhileIdleAndLostWithIncarnation(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, constant(40*time.Millisecond))
	s.run(5*time.Second, 50)
	s.run(time.Second, 0.001) // the last responses
	before := s.estimate()
	s.run(time.Minute, 0.001)
	is.Equal(s.estimate(), before)
	s.agent.StartIncarnation(testIncarnation+1, false)
	is.Equal(s.estimate(), time.Duration(0))
}

// A pause of the agent's process must not make its backend server look slow.
func TestPauseOfAgentIsNotServiceTime(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, constant(40*time.Millisecond))
	s.run(10*time.Second, 50)
	before := s.estimate()
	s.send(s.now)
	s.agent.Tick(s.now + time.Minute)
	s.now += time.Minute
	s.run(time.Second, 50)
	is.True(isWithin(s.estimate(), before, 0.5))
}

// A backend server that answers again after a hang is as fast as before. If the hang made
// it look slow it would get too few flows to show otherwise.
func TestHangIsNotServiceTime(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, func(now time.Duration) time.Duration {
		if now < 10*time.Second || now >= 16*time.Second {
			return 40 * time.Millisecond
		}
		return time.Hour
	})
	s.unanswered = time.Hour
	s.run(10*time.Second, 50)
	before := s.estimate()
	s.run(6*time.Second, 50)
	is.Equal(s.estimate(), before)
	s.run(500*time.Millisecond, 50) // requests of the hang still wait for their callers to give up
	t.Log("estimate", s.estimate())
	is.True(isWithin(s.estimate(), before, 0.8))
}

func TestServiceTimeIsReportedInSteps(t *testing.T) {
	is := is.New(t)
	s := newMeteredServer(1, 4, constant(40*time.Millisecond))
	s.run(10*time.Second, 50)
	changes, last := 0, s.estimate()
	for range 100 {
		s.run(100*time.Millisecond, 50)
		if s.estimate() != last {
			changes, last = changes+1, s.estimate()
		}
	}
	t.Log("changes in 10 s", changes)
	is.True(changes <= 10)
}
