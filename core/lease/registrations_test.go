package lease

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const collectionPeriod = 200 * time.Millisecond

func agentAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// announceAuthoritative announces host n with an authoritative backend server.
func announceAuthoritative(t *testing.T, r *Registry, now time.Duration, n int) {
	t.Helper()
	err := r.Announce(now, 1, view.Announcement{
		ID: fmt.Sprint("host-", n), Incarnation: 1, Packets: agentAddr(n), Healthy: true, BackendTracksFlows: true,
		Slots: 4, Sequence: uint64(now) + 1,
	})
	if err != nil {
		t.Fatal(err)
	}
}

func newLeadingRegistry(agents ...netip.AddrPort) *Registry {
	r := NewRegistry(Options{LeaseDuration: 2 * time.Second, CollectionPeriod: collectionPeriod})
	r.StartEpoch(0, 2, nil)
	r.SetRegisteredAgents(agents)
	return r
}

func TestViewIsPartialUntilAllRegisteredAgentsAnnounce(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2))
	announceAuthoritative(t, r, 0, 1)
	is.Equal(len(r.Tick(collectionPeriod/2)), 0)
	first := r.Tick(collectionPeriod)
	is.Equal(len(first), 1)
	is.True(first[0].Partial)
	announceAuthoritative(t, r, 500*time.Millisecond, 2)
	next := r.Tick(500 * time.Millisecond)
	is.Equal(len(next), 1)
	is.True(!next[0].Partial)
	is.Equal(len(next[0].Members), 2)
}

func TestUnannouncedRegistrationsBecomeStale(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2))
	partial := true
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		announceAuthoritative(t, r, now, 1)
		for _, v := range r.Tick(now) {
			partial = v.Partial
			is.True(partial == (now < partialPeriodLeases*2*time.Second))
		}
	}
	is.True(!partial)
	is.Equal(r.StaleRegistrations(5*time.Second), []netip.AddrPort{agentAddr(2)})
}

func TestOnlyRegisteredMembersAcceptFlows(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1))
	announceAuthoritative(t, r, 0, 1)
	announceAuthoritative(t, r, 0, 2)
	is.Equal(r.UnregisteredAgents(), []netip.AddrPort{agentAddr(2)})
	v := r.Tick(collectionPeriod)[0]
	is.Equal(v.Members[0].AcceptsNewFlows(), true)
	is.Equal(v.Members[1].AcceptsNewFlows(), false)
	r.SetRegisteredAgents([]netip.AddrPort{agentAddr(1), agentAddr(2)})
	v = r.Tick(collectionPeriod + time.Second)[0]
	is.Equal(v.Members[1].AcceptsNewFlows(), true)
	is.Equal(len(r.UnregisteredAgents()), 0)
}

func TestRegistrationBecomesStaleWhenBackendServerEnds(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2))
	announceAuthoritative(t, r, 0, 1)
	announceAuthoritative(t, r, 0, 2)
	r.Tick(collectionPeriod)
	is.Equal(len(r.StaleRegistrations(collectionPeriod)), 0)
	is.NoErr(r.Announce(collectionPeriod, 1, view.Announcement{
		ID: "host-2", Incarnation: 1, Packets: agentAddr(2), BackendTracksFlows: true, Draining: true, BackendDown: true,
		Sequence: uint64(time.Second),
	}))
	is.Equal(r.StaleRegistrations(collectionPeriod), []netip.AddrPort{agentAddr(2)})
	r.SetRegisteredAgents([]netip.AddrPort{agentAddr(1)})
	is.Equal(len(r.UnregisteredAgents()), 0)
}

func TestCollectionCompletesOnceAllAgentsAnnounce(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1))
	is.Equal(len(r.Tick(0)), 0)
	announceAuthoritative(t, r, 10*time.Millisecond, 1)
	is.Equal(len(r.Tick(10*time.Millisecond)), 1)
}

// Callers wait for the first views after a restart of all processes. A service with
// authoritative backend servers gets its first view once three quarters of the
// registered agents have announced themselves, without waiting for the last ones.
func TestAuthoritativeServicesPublishBeforeLastAgentsAnnounce(t *testing.T) {
	const step = 10 * time.Millisecond
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
	announceAuthoritative(t, r, step, 1)
	announceAuthoritative(t, r, step, 2)
	is.Equal(len(r.Tick(step)), 0) // only half of the registered agents
	is.True(!r.CollectionComplete(step))
	announceAuthoritative(t, r, 2*step, 3)
	is.True(r.CollectionComplete(2 * step))
	is.True(r.FirstViewsDue(2 * step))
	first := r.Tick(2 * step)
	is.Equal(len(first), 1)
	is.True(first[0].Partial)
	is.Equal(len(first[0].Members), 3)
	is.True(!r.FirstViewsDue(2 * step))
	announceAuthoritative(t, r, 3*step, 4)
	next := r.Tick(3 * step) // a complete view ignores the minimum publish interval
	is.Equal(len(next), 1)
	is.True(!next[0].Partial)
	is.Equal(len(next[0].Members), 4)
}

// Agents of non-authoritative backend servers place flows themselves and need the
// members of the previous epoch in the first view.
func TestNonAuthoritativeServicesWaitForAllAgents(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
	for n := 1; n <= 3; n++ {
		is.NoErr(r.Announce(0, 1, view.Announcement{
			ID: fmt.Sprint("host-", n), Incarnation: 1, Packets: agentAddr(n), Healthy: true, Slots: 4, Sequence: 1,
		}))
	}
	is.Equal(len(r.Tick(collectionPeriod/2)), 0)
	is.Equal(len(r.Tick(collectionPeriod)), 1)
}

// An agent that has not announced itself to a new leader yet may own flows, so its
// registration must not become stale before the end of the partial period.
func TestUnannouncedRegistrationsSurvivePartialPeriod(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2))
	announceAuthoritative(t, r, 0, 1)
	is.Equal(len(r.StaleRegistrations(collectionPeriod)), 0)
	announceAuthoritative(t, r, 4*time.Second, 1)
	is.Equal(r.StaleRegistrations(4*time.Second), []netip.AddrPort{agentAddr(2)}) // two lease durations have passed
}

// Searches leave out members by these numbers, so they must not claim more than the
// views show.
func TestViewsTellSinceWhenMembersAcceptFlows(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3))
	now := collectionPeriod
	announce := func(n int, incarnation view.Incarnation, unlisted, draining bool) {
		t.Helper()
		is.NoErr(r.Announce(now, 1, view.Announcement{
			ID: fmt.Sprint("host-", n), Incarnation: incarnation, Packets: agentAddr(n), Healthy: true, BackendTracksFlows: true,
			Slots: 4, Sequence: uint64(now) + 1, Unlisted: unlisted, Draining: draining,
		}))
	}
	type numbers struct{ first, since uint64 }
	publish := func() (number uint64, of []numbers) {
		t.Helper()
		now += time.Second
		views := r.Tick(now)
		is.Equal(len(views), 1)
		for i := range views[0].Members {
			b := &views[0].Members[i]
			of = append(of, numbers{b.FirstAccepting, b.AcceptingSince})
		}
		return views[0].Version.Number, of
	}
	announce(1, 1, true, false)
	announce(2, 1, false, false) // an earlier epoch may have listed it
	first, of := publish()
	is.Equal(of, []numbers{{first, first}, {0, first}})

	announce(1, 1, false, true) // drains
	announce(2, 2, true, false) // restarts
	announce(3, 1, true, false)
	second, of := publish()
	is.Equal(of, []numbers{{first, 0}, {second, first}, {second, second}})

	announce(1, 1, false, false) // the drain is cancelled
	announce(2, 2, false, false)
	announce(3, 1, false, false)
	third, of := publish()
	is.Equal(of, []numbers{{first, third}, {second, first}, {second, second}})

	r.StartEpoch(now, 3, nil)
	now += collectionPeriod
	announce(1, 1, false, false)
	_, of = publish()
	for _, n := range of {
		is.Equal(n.first, uint64(0)) // views of the earlier epoch have listed all
	}
}

// After a loss of power some registered agents do not come back. Their flows are lost
// like all others if every backend server that is back has started anew.
func TestViewIsCompleteAfterRestartOfTheFleet(t *testing.T) {
	for _, tt := range []struct {
		name        string
		announced   int
		survivor    int // the agent whose backend server an earlier view may have listed
		wantPartial bool
	}{
		{"all restarted", 7, 0, false},
		{"one survived", 7, 4, true},
		{"too few are back", 5, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var agents []netip.AddrPort
			for n := range 8 {
				agents = append(agents, agentAddr(n+1))
			}
			r := newLeadingRegistry(agents...)
			for n := 1; n <= tt.announced; n++ {
				is.NoErr(r.Announce(0, 1, view.Announcement{
					ID: fmt.Sprint("host-", n), Incarnation: 2, Packets: agentAddr(n), Healthy: true, BackendTracksFlows: true,
					Slots: 4, Sequence: 1, Unlisted: n != tt.survivor,
				}))
			}
			views := r.Tick(collectionPeriod)
			is.Equal(len(views), 1)
			is.Equal(views[0].Partial, tt.wantPartial)
		})
	}
}

func TestViewBecomesCompleteWithMostOfARestartedFleet(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
	announce := func(now time.Duration, n int) {
		is.NoErr(r.Announce(now, 1, view.Announcement{
			ID: fmt.Sprint("host-", n), Incarnation: 2, Packets: agentAddr(n), Healthy: true, BackendTracksFlows: true,
			Slots: 4, Sequence: 1, Unlisted: true,
		}))
	}
	announce(0, 1)
	announce(0, 2)
	is.True(r.Tick(collectionPeriod)[0].Partial)
	announce(collectionPeriod, 3)
	views := r.Tick(collectionPeriod)
	is.Equal(len(views), 1)
	is.True(!views[0].Partial)
}

// Balancers ask such backend servers for their flows, so the history of placements, which
// would be a large part of the bytes of each view, is left out.
func TestViewOfAuthoritativeMembersHasNoHistory(t *testing.T) {
	is := is.New(t)
	r := newLeadingRegistry(agentAddr(1), agentAddr(2))
	for n, now := 1, collectionPeriod; n <= 2; n, now = n+1, now+time.Second {
		announceAuthoritative(t, r, now, n)
		views := r.Tick(now)
		is.Equal(len(views), 1)
		is.Equal(len(views[0].Earlier), 0)
	}
}
