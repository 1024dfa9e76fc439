package lease

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// stateIn returns the state of a member in a service's current view.
func stateIn(r *Registry, id view.ServiceID, member string) view.State {
	v := r.View(id)
	if v == nil || v.IndexOf(member) < 0 {
		return view.Gone
	}
	return v.Members[v.IndexOf(member)].State
}

// Guards against a view that lists a backend server at an address which another service
// has by then: balancers would take it from the one that serves there.
func TestAddressThatWentToAnotherServiceIsNotListed(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Options{})
	f.advance(10 * second)
	left := f.agents[2]
	left.Draining = true
	f.advance(second)
	is.Equal(stateIn(f.registry, 1, left.ID), view.Draining)

	f.unresponsive[left.ID] = true
	successor := announcement(2)
	successor.ID, successor.BackendTracksFlows = "successor", true
	announceSuccessor := func() {
		successor.Sequence++
		is.NoErr(f.registry.Announce(f.now, 2, *successor))
	}
	announceSuccessor()
	f.advance(second)
	is.Equal(stateIn(f.registry, 1, left.ID), view.Gone) // within its lease
	is.True(stateIn(f.registry, 2, successor.ID) != view.Gone)
	statuses := f.registry.MemberStatuses(f.now, 1)
	is.Equal(statuses[2].Reasons[len(statuses[2].Reasons)-1], "its address was taken by another backend server")

	// Late announcements of the one that has left change nothing.
	for range 5 {
		is.NoErr(f.announce(left))
		announceSuccessor()
		f.advance(second)
		is.Equal(stateIn(f.registry, 1, left.ID), view.Gone)
		is.True(stateIn(f.registry, 2, successor.ID) != view.Gone)
	}
}

// A backend server that starts again at its address takes it back, and so does one whose
// successor has ended.
func TestAddressGoesToTheLatestStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Options{})
	f.advance(10 * second)
	successor := announcement(2)
	successor.ID, successor.BackendTracksFlows, successor.Sequence = "successor", true, 1
	is.NoErr(f.registry.Announce(f.now, 2, *successor))
	f.advance(second)
	is.Equal(stateIn(f.registry, 1, "host-2"), view.Gone)
	f.advance(5 * second) // the successor's lease ends
	is.True(stateIn(f.registry, 1, "host-2") != view.Gone)

	successor.Sequence++
	is.NoErr(f.registry.Announce(f.now, 2, *successor)) // late: it does not take the address back
	f.advance(second)
	is.True(stateIn(f.registry, 1, "host-2") != view.Gone)
	successor.Incarnation++
	is.NoErr(f.registry.Announce(f.now, 2, *successor))
	f.advance(second)
	is.Equal(stateIn(f.registry, 1, "host-2"), view.Gone)
	is.True(stateIn(f.registry, 2, successor.ID) != view.Gone)
}
