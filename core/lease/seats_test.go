package lease

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const collect = 200 * time.Millisecond

func seat(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// authoritative announces host n.
func authoritative(t *testing.T, r *Registry, now time.Duration, n int) {
	t.Helper()
	err := r.Announce(now, 1, view.Announcement{
		ID: fmt.Sprint("host-", n), Incarnation: 1, Packets: seat(n), Healthy: true, BackendTracksFlows: true,
		Slots: 4, Sequence: uint64(now) + 1,
	})
	if err != nil {
		t.Fatal(err)
	}
}

func newLeader(seats ...netip.AddrPort) *Registry {
	r := NewRegistry(Options{LeaseDuration: 2 * time.Second, CollectionPeriod: collect})
	r.StartEpoch(0, 2, nil)
	r.SetRegisteredAgents(seats)
	return r
}

func TestViewIsWholeOnceEverySeatWasHeard(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1), seat(2))
	authoritative(t, r, 0, 1)
	is.Equal(len(r.Tick(collect/2)), 0)
	first := r.Tick(collect)
	is.Equal(len(first), 1)
	is.True(first[0].Partial)
	authoritative(t, r, 500*time.Millisecond, 2)
	next := r.Tick(500 * time.Millisecond)
	is.Equal(len(next), 1)
	is.True(!next[0].Partial)
	is.Equal(len(next[0].Members), 2)
}

func TestSeatsThatStayEmptyAreGivenUpInTime(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1), seat(2))
	partial := true
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		authoritative(t, r, now, 1)
		for _, v := range r.Tick(now) {
			partial = v.Partial
			is.True(partial == (now < partialLeases*2*time.Second))
		}
	}
	is.True(!partial)
	is.Equal(r.StaleRegistrations(5*time.Second), []netip.AddrPort{seat(2)})
}

func TestMembersTakeFlowsOnlyWithASeat(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1))
	authoritative(t, r, 0, 1)
	authoritative(t, r, 0, 2)
	is.Equal(r.UnregisteredAgents(), []netip.AddrPort{seat(2)})
	v := r.Tick(collect)[0]
	is.Equal(v.Members[0].AcceptsNewFlows(), true)
	is.Equal(v.Members[1].AcceptsNewFlows(), false)
	r.SetRegisteredAgents([]netip.AddrPort{seat(1), seat(2)})
	v = r.Tick(collect + time.Second)[0]
	is.Equal(v.Members[1].AcceptsNewFlows(), true)
	is.Equal(len(r.UnregisteredAgents()), 0)
}

func TestSeatIsGivenUpWhenItsBackendServerEnds(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1), seat(2))
	authoritative(t, r, 0, 1)
	authoritative(t, r, 0, 2)
	r.Tick(collect)
	is.Equal(len(r.StaleRegistrations(collect)), 0)
	is.NoErr(r.Announce(collect, 1, view.Announcement{
		ID: "host-2", Incarnation: 1, Packets: seat(2), BackendTracksFlows: true, Draining: true, BackendDown: true,
		Sequence: uint64(time.Second),
	}))
	is.Equal(r.StaleRegistrations(collect), []netip.AddrPort{seat(2)})
	r.SetRegisteredAgents([]netip.AddrPort{seat(1)})
	is.Equal(len(r.UnregisteredAgents()), 0)
}

func TestViewsDoNotWaitOnceEverySeatWasHeard(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1))
	is.Equal(len(r.Tick(0)), 0)
	authoritative(t, r, 10*time.Millisecond, 1)
	is.Equal(len(r.Tick(10*time.Millisecond)), 1)
}

// After the loss of all processes callers wait: a service whose backend servers
// know their flows is served by those that were heard, without the last ones.
func TestViewsDoNotWaitForTheLastSeats(t *testing.T) {
	const step = 10 * time.Millisecond
	is := is.New(t)
	r := newLeader(seat(1), seat(2), seat(3), seat(4))
	authoritative(t, r, step, 1)
	authoritative(t, r, step, 2)
	is.Equal(len(r.Tick(step)), 0) // half of the seats
	is.True(!r.CollectionComplete(step))
	authoritative(t, r, 2*step, 3)
	is.True(r.CollectionComplete(2 * step))
	is.True(r.FirstViewsDue(2 * step))
	first := r.Tick(2 * step)
	is.Equal(len(first), 1)
	is.True(first[0].Partial)
	is.Equal(len(first[0].Members), 3)
	is.True(!r.FirstViewsDue(2 * step))
	authoritative(t, r, 3*step, 4)
	next := r.Tick(3 * step) // a whole view does not wait behind a partial one
	is.Equal(len(next), 1)
	is.True(!next[0].Partial)
	is.Equal(len(next[0].Members), 4)
}

// Agents that place flows themselves need the members of the earlier epoch in the
// first view.
func TestViewsOfOtherServicesWaitForEverySeat(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1), seat(2), seat(3), seat(4))
	for n := 1; n <= 3; n++ {
		is.NoErr(r.Announce(0, 1, view.Announcement{
			ID: fmt.Sprint("host-", n), Incarnation: 1, Packets: seat(n), Healthy: true, Slots: 4, Sequence: 1,
		}))
	}
	is.Equal(len(r.Tick(collect/2)), 0)
	is.Equal(len(r.Tick(collect)), 1)
}

// An agent that has not announced itself to a new leader yet may hold flows.
func TestSeatsThatWereNotHeardYetAreKept(t *testing.T) {
	is := is.New(t)
	r := newLeader(seat(1), seat(2))
	authoritative(t, r, 0, 1)
	is.Equal(len(r.StaleRegistrations(collect)), 0)
	authoritative(t, r, 4*time.Second, 1)
	is.Equal(r.StaleRegistrations(4*time.Second), []netip.AddrPort{seat(2)}) // two lease times have passed
}
