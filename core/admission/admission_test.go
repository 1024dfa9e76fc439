package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func newTestLimiter() *Limiter {
	return NewLimiter(4, []Class{
		{Name: "a", Share: 1, MaxWait: 100 * time.Millisecond, MaxQueue: 3},
		{Name: "b", Share: 1, MaxWait: 100 * time.Millisecond, MaxQueue: 3},
	})
}

func acquire(l *Limiter, now time.Time, id uint64, class int) Decision {
	ds := l.Acquire(now, Request{ID: id, Class: class, Deadline: now.Add(time.Minute)})
	return ds[len(ds)-1]
}

func TestIdleSlotsAreUsableByAllClassesAndFreedSlotsGoToLeastServedClass(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter()
	for id := range uint64(4) {
		is.Equal(acquire(l, t0, id, 0).Verdict, Admit) // exceeds the share of two
	}
	is.Equal(acquire(l, t0, 4, 0).Verdict, Queue)
	is.Equal(acquire(l, t0, 5, 1).Verdict, Queue)
	is.Equal(acquire(l, t0, 6, 1).Verdict, Queue)
	now := t0.Add(10 * time.Millisecond)
	is.Equal(l.Release(now, 0), []Decision{{ID: 5, Verdict: Admit}})
	is.Equal(l.Release(now, 1), []Decision{{ID: 6, Verdict: Admit}})
	is.Equal(l.Release(now, 2), []Decision{{ID: 4, Verdict: Admit}})
	is.Equal(l.InUse(), 4)
}

func TestQueueIsBoundedInTimeAndLength(t *testing.T) {
	tests := []struct {
		name     string
		queue    int
		deadline time.Duration
		want     Verdict
	}{
		{"room in the queue", 0, time.Minute, Queue},
		{"queue full", 3, time.Minute, Shed},
		{"expected to end after its deadline", 0, initialHoldTime - 1, Shed},
		{"expected wait exceeds its deadline", 2, initialHoldTime + time.Millisecond, Shed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLimiter()
			for id := range uint64(4 + tt.queue) {
				acquire(l, t0, id, 0)
			}
			ds := l.Acquire(t0, Request{ID: 99, Class: 0, Deadline: t0.Add(tt.deadline)})
			is.Equal(ds[0].Verdict, tt.want)
			is.Equal(ds[0].RetryAfter >= minRetryAfter, tt.want == Shed)
		})
	}
}

func TestQueuedRequestsAreShedAtTheirLimit(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter()
	for id := range uint64(6) {
		acquire(l, t0, id, 0)
	}
	l.Release(t0, 5) // canceled by its caller
	is.Equal(l.QueueLength(0), 1)
	is.Equal(len(l.ShedExpired(t0.Add(99*time.Millisecond))), 0)
	ds := l.Acquire(t0.Add(100*time.Millisecond), Request{ID: 7, Class: 0, Deadline: t0.Add(time.Minute)})
	is.Equal(len(ds), 2)
	is.Equal(ds[0].ID, uint64(4))
	is.Equal(ds[0].Verdict, Shed)
	is.Equal(ds[1].Verdict, Queue)
	is.Equal(l.SetSlots(t0.Add(101*time.Millisecond), 5), []Decision{{ID: 7, Verdict: Admit}})
}

// While no slot becomes free, callers queue and leave again. That must not make the
// limiter grow.
func TestCancelledRequestsLeaveNoTrace(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter()
	for id := range uint64(4) {
		is.Equal(acquire(l, t0, id, 0).Verdict, Admit)
	}
	for id := range uint64(1000) {
		class := int(id % 2)
		is.Equal(acquire(l, t0, 100+id, class).Verdict, Queue)
		is.Equal(len(l.Release(t0, 100+id)), 0)
	}
	is.True(len(l.queuedClasses) <= len(l.classes))
}

func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	is := is.New(t)
	c := NewConcurrencyLimit(ConcurrencyLimitOptions{Min: 1, Max: 4, MaxLatencyRatio: 2, SampleWindow: 4})
	observe := func(n int, latency time.Duration, failed bool) {
		for range n {
			c.Observe(latency, 3, failed)
		}
	}
	observe(4, 10*time.Millisecond, false)
	is.Equal(c.Limit(), 4)
	observe(12, 50*time.Millisecond, false) // the backend server sustains less than it reports
	is.Equal(c.Limit(), 1)
	observe(12, 10*time.Millisecond, false)
	is.Equal(c.Limit(), 4)
	observe(4, 10*time.Millisecond, true)
	is.Equal(c.Limit(), 3)
}

func TestRamp(t *testing.T) {
	is := is.New(t)
	r := Ramp{Start: t0, Duration: 10 * time.Second, InitialFraction: 0.1}
	is.Equal(r.SlotsAt(t0, 4), 1)
	is.Equal(r.SlotsAt(t0.Add(5*time.Second), 4), 2)
	is.Equal(r.SlotsAt(t0.Add(10*time.Second), 4), 4)
	is.Equal(Ramp{}.FractionAt(t0), 1.0)
}

func newTestPool(servers ...BackendServer) *Pool {
	p := NewPool(PoolOptions{
		Zone: "z0", CrossZoneCost: 6 * time.Millisecond, ReportHalfLife: time.Second, EjectAfterFailures: 3,
		BaseEjectionTime: time.Second, MaxEjectedFraction: 0.5, SlowStartDuration: 10 * time.Second,
	})
	for i := range servers {
		servers[i].Slots, servers[i].Weight = 4, 1
	}
	p.SetBackendServers(servers)
	return p
}

// countPicks returns how often each backend server is picked by the given
// number of picks, all in flight at once.
func countPicks(p *Pool, now time.Time, picks int) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	n := make(map[string]int)
	for range picks {
		id, _ := p.Pick(now, rng.Uint64(), nil)
		n[id]++
	}
	for id, k := range n {
		for range k {
			p.Done(now, id, Canceled, 0)
		}
	}
	return n
}

func TestSameZonePreferredUntilCostlier(t *testing.T) {
	is := is.New(t)
	p := newTestPool(BackendServer{ID: "near", Zone: "z0"}, BackendServer{ID: "far", Zone: "z1"})
	is.Equal(countPicks(p, t0, 3)["far"], 0)
	n := countPicks(p, t0, 40)
	is.True(n["far"] > 10)
	is.True(n["near"] > n["far"])
}

func TestReportedLoadDecays(t *testing.T) {
	is := is.New(t)
	p := newTestPool(BackendServer{ID: "a", Zone: "z0"}, BackendServer{ID: "b", Zone: "z0"})
	p.ReportLoad(t0, "a", 8)
	is.Equal(countPicks(p, t0, 6)["a"], 0)
	n := countPicks(p, t0.Add(20*time.Second), 40)
	is.True(n["a"] >= 15 && n["b"] >= 15)
}

func TestRejectionsLowerHealthWithoutEjection(t *testing.T) {
	is := is.New(t)
	p := newTestPool(BackendServer{ID: "a", Zone: "z0"}, BackendServer{ID: "b", Zone: "z0"})
	for range 20 {
		p.Done(t0, "a", Rejected, 0)
	}
	is.Equal(p.EjectedCount(), 0)
	n := countPicks(p, t0, 40)
	is.True(n["a"] > 0 && n["a"] < n["b"]/4)
}

func TestEjectedServerReturnsAfterProbe(t *testing.T) {
	is := is.New(t)
	p := newTestPool(BackendServer{ID: "a", Zone: "z0"}, BackendServer{ID: "b", Zone: "z0"})
	fail := func(id string) {
		for range 3 {
			p.Done(t0, id, Failed, 0)
		}
	}
	fail("a")
	fail("b")
	is.Equal(p.EjectedCount(), 1) // at most half are ejected
	is.Equal(countPicks(p, t0, 20)["a"], 0)
	due := func(after time.Duration) bool {
		id, ok := p.NextProbe(t0.Add(after))
		return ok && id == "a"
	}
	is.True(!due(999 * time.Millisecond))
	is.True(due(time.Second))
	is.True(!due(time.Second)) // one probe at a time
	p.ProbeDone(t0.Add(time.Second), "a", false)
	is.True(!due(2900 * time.Millisecond)) // the ejection time doubles
	is.True(due(3 * time.Second))
	p.ProbeDone(t0.Add(3*time.Second), "a", true)
	is.Equal(p.EjectedCount(), 0)
	n := countPicks(p, t0.Add(3*time.Second), 40)
	is.True(n["a"] < n["b"]/4) // slow start
	n = countPicks(p, t0.Add(13*time.Second), 40)
	is.True(n["a"] >= 15)
}

func TestPickFailsWithEveryServerExcluded(t *testing.T) {
	is := is.New(t)
	p := newTestPool(BackendServer{ID: "a", Zone: "z0"})
	_, ok := p.Pick(t0, 0, []string{"a"})
	is.True(!ok)
}

// TestSchedulerIsolatesServicesFromFlood floods one service while the others
// send within their share. It guards against drops and delays of the others and
// against reordering, and compares with a single FIFO queue.
func TestSchedulerIsolatesServicesFromFlood(t *testing.T) {
	is := is.New(t)
	const capacity, rounds, flood = 256, 2000, 50
	s := NewScheduler[int](capacity, 1)
	var fifo []uint32
	sent, got, naive := make([]int, 4), make([]int, 4), make([]int, 4)
	next := make([]int, 4)
	for range rounds {
		for service := range 4 {
			n := 1
			if service == 0 {
				n = flood
			}
			for range n {
				if len(fifo) < capacity {
					fifo = append(fifo, uint32(service))
				}
				if s.Enqueue(uint32(service), 1, sent[service]) {
					sent[service]++
				}
			}
		}
		for range 6 { // the processor handles six packets per round
			if item, service, ok := s.Dequeue(); ok {
				is.Equal(item, next[service]) // in order
				next[service]++
				got[service]++
			}
			naive[fifo[0]]++
			fifo = fifo[1:]
		}
	}
	for service := 1; service < 4; service++ {
		is.Equal(s.DropCount(uint32(service)), uint64(0))
		is.True(got[service] >= rounds*98/100)
		is.True(naive[service] < rounds/2)
	}
	is.True(s.DropCount(0) > 0)
	is.Equal(got[0]+got[1]+got[2]+got[3], 6*rounds)
}

func TestSchedulerIsFairInBytes(t *testing.T) {
	is := is.New(t)
	s := NewScheduler[int](4096, 1500)
	got := [2]int{}
	for i := range 1000 {
		s.Enqueue(0, 100, i)
		s.Enqueue(1, 1500, i)
	}
	for range 480 {
		_, service, _ := s.Dequeue()
		got[service] += 100 + 1400*int(service)
	}
	is.Equal(got[0], got[1])
}

func TestSchedulerDoesNotAllocate(t *testing.T) {
	s := NewScheduler[[]byte](64, 1500)
	buf := make([]byte, 1200)
	step := func() {
		for service := range uint32(8) {
			s.Enqueue(service, len(buf), buf)
		}
		for range 8 {
			s.Dequeue()
		}
	}
	step()
	is.New(t).Equal(testing.AllocsPerRun(1000, step), 0.0)
}

func BenchmarkScheduler(b *testing.B) {
	for _, services := range []uint32{2, 1000} {
		b.Run(fmt.Sprint(services, "services"), func(b *testing.B) {
			s := NewScheduler[int](8192, 1500)
			b.ReportAllocs()
			for i := range b.N {
				s.Enqueue(uint32(i)%services, 1200, i)
				s.Dequeue()
			}
		})
	}
}

func BenchmarkLimiter(b *testing.B) {
	l := newTestLimiter()
	b.ReportAllocs()
	for i := range b.N {
		acquire(l, t0, uint64(i), i%2)
		l.Release(t0, uint64(i))
	}
}

func BenchmarkPick(b *testing.B) {
	var servers []BackendServer
	for i := range 7 {
		servers = append(servers, BackendServer{ID: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4)})
	}
	p := newTestPool(servers...)
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for range b.N {
		id, _ := p.Pick(t0, rng.Uint64(), nil)
		p.Done(t0, id, Completed, time.Millisecond)
	}
}
