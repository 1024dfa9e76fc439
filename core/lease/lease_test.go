package lease

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const second = time.Second

// testFleet drives a registry with agents that announce themselves once a second.
type testFleet struct {
	registry     *Registry
	now          time.Duration
	agents       []*view.Announcement
	unresponsive map[string]bool
	latestView   *view.View
	versions     []view.Version
}

func newFleet(hosts int, o Options) *testFleet {
	f := &testFleet{registry: NewRegistry(o), unresponsive: map[string]bool{}}
	for i := range hosts {
		f.agents = append(f.agents, announcement(i))
	}
	f.registry.StartEpoch(0, 1, nil)
	return f
}

func announcement(i int) *view.Announcement {
	return &view.Announcement{
		ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprint("zone-", i%3), Incarnation: 1, Healthy: true,
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
	}
}

// advance advances the time by d. Agents adopt the latest view without delay.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for i, a := range f.agents {
			if !f.unresponsive[a.ID] && (f.now/(100*time.Millisecond)+time.Duration(i))%10 == 0 {
				f.announce(a)
			}
		}
		for _, v := range f.registry.Tick(f.now) {
			f.latestView = v
			f.versions = append(f.versions, v.Version)
		}
	}
}

func (f *testFleet) announce(a *view.Announcement) error {
	a.Sequence++
	if f.latestView != nil {
		a.AdoptedVersion = f.latestView.Version
	}
	return f.registry.Announce(f.now, 1, *a)
}

// markUnfit makes agents announce backend servers that are up as unhealthy, and allows a
// quarter of them to be ejected for it.
func markUnfit(f *testFleet, hosts ...int) {
	f.registry.SetOptions(Options{MaxEjectedShare: 1, MaxUnfitShare: 0.25})
	for _, i := range hosts {
		f.agents[i].Healthy, f.agents[i].BackendTracksFlows = false, true
	}
}

func (f *testFleet) restart(i int) {
	f.agents[i].Incarnation++
	f.agents[i].Sequence, f.agents[i].AdoptedVersion = 0, view.Version{}
}

// formatStates formats the members of the latest view, such as "ready:100/gone:0".
func (f *testFleet) formatStates() (s string) {
	for i := range f.latestView.Members {
		if i > 0 {
			s += "/"
		}
		s += fmt.Sprintf("%s:%d", f.latestView.Members[i].State, f.latestView.Members[i].Weight)
	}
	return s
}

func TestMemberLifecycle(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.advance(2 * second)
	is.Equal(f.latestView, nil) // the collection period is one lease duration
	f.advance(30 * second)
	is.Equal(f.formatStates(), "ready:100/ready:100")

	f.agents = append(f.agents, announcement(2))
	f.advance(time.Second)
	is.Equal(f.formatStates(), "ready:100/ready:100/joining:0")
	var weights []uint32
	for range 25 {
		f.advance(second)
		if w := f.latestView.Members[2].Weight; len(weights) == 0 || weights[len(weights)-1] != w {
			weights = append(weights, w)
		}
	}
	is.Equal(weights, []uint32{20, 40, 60, 80, 100})
	is.Equal(len(f.latestView.Earlier) > 3, true)

	f.registry.SetDrained([]string{"host-2", "host-9"})
	f.advance(second)
	is.Equal(f.formatStates(), "ready:100/ready:100/draining:0")
	is.Equal(f.registry.MemberStatuses(f.now, 1)[2].Reasons, []string{"drained by an operator"})
	f.registry.SetDrained(nil)
	f.advance(second)
	is.Equal(f.formatStates(), "ready:100/ready:100/ready:100") // the drain is canceled

	f.unresponsive["host-1"] = true
	f.advance(5 * second)
	is.Equal(f.formatStates(), "ready:100/gone:0/ready:100")
	f.unresponsive["host-1"] = false
	f.advance(2 * second)
	is.Equal(f.formatStates(), "ready:100/ready:100/ready:100")
	f.unresponsive["host-1"] = true
	f.advance(40 * second)
	is.Equal(f.formatStates(), "ready:100/ready:100") // removed after Options.Retention

	f.restart(2)
	f.advance(1500 * time.Millisecond)
	is.Equal(f.latestView.Members[1].Incarnation, view.Incarnation(2))
	is.Equal(f.latestView.Members[1].State, view.Joining) // a new incarnation holds no view yet
	for i := range f.versions[1:] {
		is.True(f.versions[i+1].Newer(f.versions[i]))
	}
}

func TestRegistryRejectsAnnouncement(t *testing.T) {
	cases := []struct {
		name   string
		change func(*view.Announcement)
		want   func(error) bool
	}{
		{"same sequence number", func(*view.Announcement) {}, isReplayed},
		{"older sequence number", func(a *view.Announcement) { a.Sequence-- }, isReplayed},
		{"older incarnation", func(a *view.Announcement) { a.Incarnation--; a.Sequence = 99 }, isReplayed},
		{"no ID", func(a *view.Announcement) { a.ID = "" }, isInvalid},
		{"no incarnation", func(a *view.Announcement) { a.Incarnation = 0 }, isInvalid},
		{"no address", func(a *view.Announcement) { a.Packets = netip.AddrPort{} }, isInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Options{})
			a := *announcement(0)
			a.Incarnation, a.Sequence = 5, 7
			is.NoErr(r.Announce(0, 1, a))
			c.change(&a)
			is.True(c.want(r.Announce(0, 1, a)))
			is.Equal(r.Stats().ReplayedAnnouncements+r.Stats().InvalidAnnouncements, uint64(1))
		})
	}
}

func isReplayed(err error) bool { return errorx.IsOfType(err, ErrReplayed) }
func isInvalid(err error) bool  { return errorx.IsOfType(err, ErrInvalid) }

// TestMemberStatesAfterFault checks the member states of the latest view after a
// fault or an operator's change that affects one or more members.
func TestMemberStatesAfterFault(t *testing.T) {
	markUnresponsive := func(f *testFleet, hosts ...int) {
		for _, i := range hosts {
			f.unresponsive[f.agents[i].ID] = true
		}
	}
	cases := []struct {
		name  string
		hosts int
		fault func(*testFleet)
		after time.Duration
		want  string
	}{
		{"a zone of three is lost", 7, func(f *testFleet) { markUnresponsive(f, 0, 3, 6) }, 6 * second, "gone:0/ready:100/ready:100/gone:0/ready:100/ready:100/gone:0"},
		{"all are unresponsive", 4, func(f *testFleet) { markUnresponsive(f, 0, 1, 2, 3) }, 60 * second, "gone:0/ready:100/ready:100/gone:0"},
		{"four of seven are unresponsive for longer than the retention", 7, func(f *testFleet) { markUnresponsive(f, 0, 2, 4, 6) }, 40 * second, "ready:100/gone:0/ready:100/ready:100"},
		{"the only member is unresponsive", 1, func(f *testFleet) { markUnresponsive(f, 0) }, 60 * second, "ready:100"},
		{"all are reported unhealthy", 4, func(f *testFleet) {
			for _, a := range f.agents {
				a.Healthy = false
			}
		}, 6 * second, "ready:0/ready:100/ready:100/ready:0"},
		{"one is reported unhealthy", 4, func(f *testFleet) { f.agents[1].Healthy = false }, 6 * second, "ready:100/ready:0/ready:100/ready:100"},
		{"all are judged unfit", 4, func(f *testFleet) { markUnfit(f, 0, 1, 2, 3) }, 6 * second, "ready:0/ready:100/ready:100/ready:100"},
		{"the only member is judged unfit", 1, func(f *testFleet) { markUnfit(f, 0) }, 6 * second, "ready:100"},
		{"one is judged unfit and two are unresponsive", 4, func(f *testFleet) {
			markUnfit(f, 0, 1)
			markUnresponsive(f, 2, 3)
		}, 6 * second, "ready:0/ready:100/gone:0/gone:0"},
		{"a drained member is unresponsive", 2, func(f *testFleet) { f.registry.SetDrained([]string{"host-0"}); markUnresponsive(f, 0) }, 6 * second, "gone:0/ready:100"},
		{"all are drained", 2, func(f *testFleet) { f.registry.SetDrained([]string{"host-0", "host-1"}) }, 6 * second, "draining:0/draining:0"},
		{"a zone is evacuated", 4, func(f *testFleet) { f.registry.SetEvacuatedZones([]string{"zone-0"}) }, 100 * time.Millisecond, "draining:0/ready:100/ready:100/draining:0"},
		{"a zone is evacuated and taken back", 4, func(f *testFleet) {
			f.registry.SetEvacuatedZones([]string{"zone-0"})
			f.advance(second)
			f.registry.SetEvacuatedZones(nil)
		}, 100 * time.Millisecond, "ready:100/ready:100/ready:100/ready:100"},
		{"a member announces itself in an evacuated zone", 1, func(f *testFleet) {
			f.registry.SetEvacuatedZones([]string{"zone-1"})
			f.agents = append(f.agents, announcement(1))
		}, 6 * second, "ready:100/draining:0"},
		{"a member of an evacuated zone restarts", 2, func(f *testFleet) {
			f.registry.SetEvacuatedZones([]string{"zone-1"})
			f.restart(1)
		}, 6 * second, "ready:100/draining:0"},
		{"a weight is set", 2, func(f *testFleet) { f.registry.SetWeightFunc(weightFuncOfHost1(40)) }, second, "ready:100/ready:40"},
		{"a weight of 0 is set", 2, func(f *testFleet) { f.registry.SetWeightFunc(weightFuncOfHost1(0)) }, second, "ready:100/ready:0"},
		{"an agent announces draining", 2, func(f *testFleet) { f.agents[0].Draining = true }, 6 * second, "draining:0/ready:100"},
		{"a member flaps", 3, func(f *testFleet) {
			for range 5 {
				f.restart(1)
				f.advance(4 * second)
			}
		}, 10 * second, "ready:100/warming:0/ready:100"},
		{"a member stops flapping", 3, func(f *testFleet) {
			for range 5 {
				f.restart(1)
				f.advance(4 * second)
			}
		}, 40 * second, "ready:100/ready:100/ready:100"},
		{"another member announces its address", 2, func(f *testFleet) {
			markUnresponsive(f, 0)
			f.agents = append(f.agents, announcement(2))
			f.agents[2].Packets = f.agents[0].Packets
		}, 1100 * time.Millisecond, "gone:0/ready:100/joining:0"},
		{"the epoch has ended", 2, func(f *testFleet) { f.registry.EndEpoch(); markUnresponsive(f, 0) }, 20 * second, "ready:100/ready:100"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.hosts, Options{})
			f.advance(40 * second)
			c.fault(f)
			f.advance(c.after)
			is.New(t).Equal(f.formatStates(), c.want)
		})
	}
}

// TestFirstViewsOfEpochKeepMembers guards against first views of an epoch that are
// empty or that differ from the last view of the previous epoch. It covers a new
// leader with and without the earlier views.
func TestFirstViewsOfEpochKeepMembers(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("earlier views known: ", known), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, Options{})
			f.advance(40 * second)
			f.registry.SetDrained([]string{"host-3"})
			f.advance(second)
			before := f.latestView
			f.registry = NewRegistry(Options{})
			f.registry.SetDrained([]string{"host-3"})
			var earlier []*view.View
			if known {
				earlier = []*view.View{before}
			}
			f.unresponsive["host-2"] = true
			f.registry.StartEpoch(f.now, 2, earlier)
			f.advance(2900 * time.Millisecond)
			is.Equal(f.latestView, before) // the collection period has not ended
			f.advance(2 * second)
			is.Equal(f.latestView.Version.Epoch, uint64(2))
			want := map[bool]string{true: "ready:100/ready:100/gone:0/draining:0", false: "ready:100/ready:100/draining:0"}
			is.Equal(f.formatStates(), want[known])
		})
	}
}

// TestViewsAlwaysHaveTargets checks every view for targets while random members
// become unresponsive, unhealthy or restart.
func TestViewsAlwaysHaveTargets(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		f := newFleet(7, Options{})
		f.advance(40 * second)
		for range 200 {
			a := f.agents[rng.IntN(len(f.agents))]
			f.unresponsive[a.ID] = rng.IntN(2) == 0
			a.Healthy = rng.IntN(3) > 0
			if rng.IntN(5) == 0 {
				a.Incarnation++
			}
			f.advance(time.Duration(rng.IntN(2000)) * time.Millisecond)
			is.True(len(f.latestView.Targets()) > 0)
			is.True(!f.latestView.IsDrainOnly())
			for _, past := range f.latestView.Earlier {
				is.Equal(len(past.Weights), len(f.latestView.Members))
			}
		}
	}
}

func TestLoads(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, Options{})
	f.advance(10 * second)
	for i, a := range f.agents {
		a.Flows = uint32(100 + i)
	}
	f.advance(2 * second)
	is.Equal(len(f.registry.Loads(f.now, 1, "host-2", 64)), 7)
	few := f.registry.Loads(f.now, 1, "host-6", 4)
	is.Equal(len(few), 4)
	is.True(slices.Contains(few, view.Load{Seed: view.SeedOf("host-6"), Flows: 106}))
	is.Equal(f.registry.Loads(f.now, 2, "host-6", 4), nil)
}

func TestMemberMovesToAnotherService(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.advance(10 * second)
	moved := *f.agents[0]
	f.unresponsive[moved.ID] = true
	moved.Incarnation++
	is.NoErr(f.registry.Announce(f.now, 2, moved))
	f.advance(second)
	is.Equal(len(f.registry.View(1).Members), 1)
	is.Equal(f.registry.View(2).Members[0].ID, moved.ID)
}

func TestHealthEstimatorScore(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name      string
		record    func(*HealthEstimator)
		low, high float64
	}{
		{"no samples", func(*HealthEstimator) {}, 1, 1},
		{"observed as healthy, reported unhealthy by many", func(h *HealthEstimator) {
			for range 100 {
				h.RecordOutcome(0, true)
				h.RecordReport(0, 0, false)
			}
		}, 0.79, 1},
		{"observed as unhealthy, reported healthy by many", func(h *HealthEstimator) {
			for range 100 {
				h.RecordOutcome(0, false)
				h.RecordReport(0, 0, true)
			}
		}, 0, 0.22},
		{"nothing observed, reported unhealthy", func(h *HealthEstimator) { h.RecordReport(0, 0, false); h.RecordReport(0, 0, false) }, 0.3, 0.4},
		{"an old report", func(h *HealthEstimator) { h.RecordReport(200*second, 0, false) }, 0.99, 1},
		{"old failures", func(h *HealthEstimator) { h.RecordOutcome(-200*second, false) }, 0.99, 1},
		{"recent failures after many successes", func(h *HealthEstimator) {
			for range 100 {
				h.RecordOutcome(-30*second, true)
			}
			for i := range 20 {
				h.RecordOutcome(time.Duration(i)*ms, false)
			}
		}, 0.2, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealthEstimator(HealthEstimatorOptions{})
			h.observed.updatedAt, h.reported.updatedAt = -300*second, -300*second
			c.record(h)
			score := h.Score(200 * second * time.Duration(btoi(c.name == "an old report")))
			is.True(score >= c.low && score <= c.high)
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// BenchmarkRegistry measures a fleet of 140,000 hosts and 20,000 services.
func BenchmarkRegistry(b *testing.B) {
	const hosts, perService = 140_000, 7
	r := NewRegistry(Options{})
	agents := make([]*view.Announcement, hosts)
	for i := range agents {
		agents[i] = announcement(i)
		agents[i].AdoptedVersion = view.Version{Epoch: 1}
		agents[i].Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	announce := func(now time.Duration, i int) {
		a := agents[i]
		a.Sequence++
		_ = r.Announce(now, view.ServiceID(i/perService), *a)
	}
	for i := range agents {
		announce(0, i)
	}
	r.StartEpoch(0, 1, nil)
	r.Tick(4 * second)
	b.Run("announce", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			announce(5*second, i%hosts)
			i++
		}
	})
	b.Run("tick without change", func(b *testing.B) {
		now := 5 * second
		for b.Loop() {
			now += time.Microsecond
			r.Tick(now)
		}
	})
}

// weightFuncOfHost1 returns a weight function that gives host-1 the given weight.
func weightFuncOfHost1(weight uint32) func(*view.Announcement) uint32 {
	return func(a *view.Announcement) uint32 {
		if a.ID == "host-1" {
			return weight
		}
		return view.FullWeight
	}
}
