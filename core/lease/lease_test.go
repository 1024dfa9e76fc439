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

// fleet drives a registry with agents that announce themselves every second.
type fleet struct {
	r        *Registry
	now      time.Duration
	agents   []*view.Announcement
	silent   map[string]bool
	newest   *view.View
	versions []view.Version
}

func newFleet(hosts int, o Options) *fleet {
	f := &fleet{r: NewRegistry(o), silent: map[string]bool{}}
	for i := range hosts {
		f.agents = append(f.agents, announcement(i))
	}
	f.r.StartEpoch(0, 1, nil)
	return f
}

func announcement(i int) *view.Announcement {
	return &view.Announcement{
		ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprint("zone-", i%3), Incarnation: 1, Healthy: true,
		Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
	}
}

// run lets d pass. Agents adopt the newest view at once.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for i, a := range f.agents {
			if !f.silent[a.ID] && (f.now/(100*time.Millisecond)+time.Duration(i))%10 == 0 {
				f.announce(a)
			}
		}
		for _, v := range f.r.Tick(f.now) {
			f.newest = v
			f.versions = append(f.versions, v.Version)
		}
	}
}

func (f *fleet) announce(a *view.Announcement) error {
	a.Sequence++
	if f.newest != nil {
		a.AdoptedVersion = f.newest.Version
	}
	return f.r.Announce(f.now, 1, *a)
}

func (f *fleet) restart(i int) {
	f.agents[i].Incarnation++
	f.agents[i].Sequence, f.agents[i].AdoptedVersion = 0, view.Version{}
}

// states renders the newest view, such as "ready:100/gone:0".
func (f *fleet) states() (s string) {
	for i := range f.newest.Members {
		if i > 0 {
			s += "/"
		}
		s += fmt.Sprintf("%s:%d", f.newest.Members[i].State, f.newest.Members[i].Weight)
	}
	return s
}

func TestLifeOfAMember(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.run(2 * second)
	is.Equal(f.newest, nil) // collects for one lease first
	f.run(30 * second)
	is.Equal(f.states(), "ready:100/ready:100")

	f.agents = append(f.agents, announcement(2))
	f.run(time.Second)
	is.Equal(f.states(), "ready:100/ready:100/joining:0")
	var weights []uint32
	for range 25 {
		f.run(second)
		if w := f.newest.Members[2].Weight; len(weights) == 0 || weights[len(weights)-1] != w {
			weights = append(weights, w)
		}
	}
	is.Equal(weights, []uint32{20, 40, 60, 80, 100})
	is.Equal(len(f.newest.Earlier) > 3, true)

	f.r.SetDrained([]string{"host-2", "host-9"})
	f.run(second)
	is.Equal(f.states(), "ready:100/ready:100/draining:0")
	is.Equal(f.r.MemberStatuses(f.now, 1)[2].Reasons, []string{"drained by an operator"})
	f.r.SetDrained(nil)
	f.run(second)
	is.Equal(f.states(), "ready:100/ready:100/ready:100") // the drain is cancelled

	f.silent["host-1"] = true
	f.run(5 * second)
	is.Equal(f.states(), "ready:100/gone:0/ready:100")
	f.silent["host-1"] = false
	f.run(2 * second)
	is.Equal(f.states(), "ready:100/ready:100/ready:100")
	f.silent["host-1"] = true
	f.run(40 * second)
	is.Equal(f.states(), "ready:100/ready:100") // forgotten after lingering

	f.restart(2)
	f.run(1500 * time.Millisecond)
	is.Equal(f.newest.Members[1].Incarnation, view.Incarnation(2))
	is.Equal(f.newest.Members[1].State, view.Joining) // a new run holds no view yet
	for i := range f.versions[1:] {
		is.True(f.versions[i+1].Newer(f.versions[i]))
	}
}

func TestRefusedAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		change func(*view.Announcement)
		want   func(error) bool
	}{
		{"same sequence", func(*view.Announcement) {}, isReplayed},
		{"older sequence", func(a *view.Announcement) { a.Sequence-- }, isReplayed},
		{"older run", func(a *view.Announcement) { a.Incarnation--; a.Sequence = 99 }, isReplayed},
		{"no ID", func(a *view.Announcement) { a.ID = "" }, isInvalid},
		{"no run", func(a *view.Announcement) { a.Incarnation = 0 }, isInvalid},
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

// TestFaults runs what may happen to many members at once, and names the states
// that follow.
func TestFaults(t *testing.T) {
	silence := func(f *fleet, hosts ...int) {
		for _, i := range hosts {
			f.silent[f.agents[i].ID] = true
		}
	}
	cases := []struct {
		name  string
		hosts int
		fault func(*fleet)
		after time.Duration
		want  string
	}{
		{"a zone of three is lost", 7, func(f *fleet) { silence(f, 0, 3, 6) }, 6 * second, "gone:0/ready:100/ready:100/gone:0/ready:100/ready:100/gone:0"},
		{"all fall silent", 4, func(f *fleet) { silence(f, 0, 1, 2, 3) }, 60 * second, "gone:0/ready:100/ready:100/gone:0"},
		{"four of seven are lost for long", 7, func(f *fleet) { silence(f, 0, 2, 4, 6) }, 40 * second, "ready:100/gone:0/ready:100/ready:100"},
		{"the only one falls silent", 1, func(f *fleet) { silence(f, 0) }, 60 * second, "ready:100"},
		{"all are reported failing", 4, func(f *fleet) {
			for _, a := range f.agents {
				a.Healthy = false
			}
		}, 6 * second, "ready:0/ready:100/ready:100/ready:0"},
		{"one is reported failing", 4, func(f *fleet) { f.agents[1].Healthy = false }, 6 * second, "ready:100/ready:0/ready:100/ready:100"},
		{"a drained one falls silent", 2, func(f *fleet) { f.r.SetDrained([]string{"host-0"}); silence(f, 0) }, 6 * second, "gone:0/ready:100"},
		{"all are drained", 2, func(f *fleet) { f.r.SetDrained([]string{"host-0", "host-1"}) }, 6 * second, "draining:0/draining:0"},
		{"a weight is set", 2, func(f *fleet) { f.r.SetWeightFunc(weights(40)) }, second, "ready:100/ready:40"},
		{"a weight of 0 is set", 2, func(f *fleet) { f.r.SetWeightFunc(weights(0)) }, second, "ready:100/ready:0"},
		{"an agent asks to leave", 2, func(f *fleet) { f.agents[0].Draining = true }, 6 * second, "draining:0/ready:100"},
		{"one flaps", 3, func(f *fleet) {
			for range 5 {
				f.restart(1)
				f.run(4 * second)
			}
		}, 10 * second, "ready:100/warming:0/ready:100"},
		{"a flapping one calms down", 3, func(f *fleet) {
			for range 5 {
				f.restart(1)
				f.run(4 * second)
			}
		}, 40 * second, "ready:100/ready:100/ready:100"},
		{"another takes its address", 2, func(f *fleet) {
			silence(f, 0)
			f.agents = append(f.agents, announcement(2))
			f.agents[2].Packets = f.agents[0].Packets
		}, 1100 * time.Millisecond, "gone:0/ready:100/joining:0"},
		{"a replica retires", 2, func(f *fleet) { f.r.EndEpoch(); silence(f, 0) }, 20 * second, "ready:100/ready:100"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.hosts, Options{})
			f.run(40 * second)
			c.fault(f)
			f.run(c.after)
			is.New(t).Equal(f.states(), c.want)
		})
	}
}

// TestNewLeader checks that the first views of an epoch are neither empty nor
// different from the last of the epoch before, known or not.
func TestNewLeader(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("earlier views known: ", known), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, Options{})
			f.run(40 * second)
			f.r.SetDrained([]string{"host-3"})
			f.run(second)
			before := f.newest
			f.r = NewRegistry(Options{})
			f.r.SetDrained([]string{"host-3"})
			var earlier []*view.View
			if known {
				earlier = []*view.View{before}
			}
			f.silent["host-2"] = true
			f.r.StartEpoch(f.now, 2, earlier)
			f.run(2900 * time.Millisecond)
			is.Equal(f.newest, before) // still collecting
			f.run(2 * second)
			is.Equal(f.newest.Version.Epoch, uint64(2))
			want := map[bool]string{true: "ready:100/ready:100/gone:0/draining:0", false: "ready:100/ready:100/draining:0"}
			is.Equal(f.states(), want[known])
		})
	}
}

// TestNeverEmptied runs random announcements and silences, and checks each view.
func TestNeverEmptied(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		f := newFleet(7, Options{})
		f.run(40 * second)
		for range 200 {
			a := f.agents[rng.IntN(len(f.agents))]
			f.silent[a.ID] = rng.IntN(2) == 0
			a.Healthy = rng.IntN(3) > 0
			if rng.IntN(5) == 0 {
				a.Incarnation++
			}
			f.run(time.Duration(rng.IntN(2000)) * time.Millisecond)
			is.True(len(f.newest.Targets()) > 0)
			is.True(!f.newest.IsDrainOnly())
			for _, past := range f.newest.Earlier {
				is.Equal(len(past.Weights), len(f.newest.Members))
			}
		}
	}
}

func TestLoads(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, Options{})
	f.run(10 * second)
	for i, a := range f.agents {
		a.Flows = uint32(100 + i)
	}
	f.run(2 * second)
	is.Equal(len(f.r.Loads(f.now, 1, "host-2", 64)), 7)
	few := f.r.Loads(f.now, 1, "host-6", 4)
	is.Equal(len(few), 4)
	is.True(slices.Contains(few, view.Load{Seed: view.SeedOf("host-6"), Flows: 106}))
	is.Equal(f.r.Loads(f.now, 2, "host-6", 4), nil)
}

func TestMovedToAnotherService(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.run(10 * second)
	moved := *f.agents[0]
	f.silent[moved.ID] = true
	moved.Incarnation++
	is.NoErr(f.r.Announce(f.now, 2, moved))
	f.run(second)
	is.Equal(len(f.r.View(1).Members), 1)
	is.Equal(f.r.View(2).Members[0].ID, moved.ID)
}

func TestHealth(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name     string
		evidence func(*HealthEstimator)
		low, top float64
	}{
		{"nothing known", func(*HealthEstimator) {}, 1, 1},
		{"seen to work, reported failing by many", func(h *HealthEstimator) {
			for range 100 {
				h.RecordOutcome(0, true)
				h.RecordReport(0, 0, false)
			}
		}, 0.79, 1},
		{"seen to fail, reported working by many", func(h *HealthEstimator) {
			for range 100 {
				h.RecordOutcome(0, false)
				h.RecordReport(0, 0, true)
			}
		}, 0, 0.22},
		{"nothing seen, reported failing", func(h *HealthEstimator) { h.RecordReport(0, 0, false); h.RecordReport(0, 0, false) }, 0.3, 0.4},
		{"an old report", func(h *HealthEstimator) { h.RecordReport(200*second, 0, false) }, 0.99, 1},
		{"old failures", func(h *HealthEstimator) { h.RecordOutcome(-200*second, false) }, 0.99, 1},
		{"fresh failures after many successes", func(h *HealthEstimator) {
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
			h.seen.at, h.told.at = -300*second, -300*second
			c.evidence(h)
			score := h.Score(200 * second * time.Duration(btoi(c.name == "an old report")))
			is.True(score >= c.low && score <= c.top)
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// BenchmarkRegistry measures a fleet of 140,000 hosts of 20,000 services.
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

// weights gives host-1 a weight of its own.
func weights(of1 uint32) func(*view.Announcement) uint32 {
	return func(a *view.Announcement) uint32 {
		if a.ID == "host-1" {
			return of1
		}
		return view.FullWeight
	}
}
