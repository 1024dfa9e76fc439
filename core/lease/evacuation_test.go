package lease

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// A new leader knows the evacuations before it publishes, and lists no member of such a
// zone as accepting, whether the member comes from an earlier view or announces itself.
func TestEvacuationOutlivesTheLeader(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Options{})
	f.advance(40 * second)
	before := f.latestView
	f.registry = NewRegistry(Options{})
	is.True(f.registry.SetEvacuatedZones([]string{"zone-2"}))
	is.True(!f.registry.SetEvacuatedZones([]string{"zone-2"})) // no change
	f.registry.StartEpoch(f.now, 2, []*view.View{before})
	f.advance(6 * second)
	is.Equal(f.latestView.Version.Epoch, uint64(2))
	is.Equal(f.formatStates(), "ready:100/ready:100/draining:0")
	is.Equal(f.registry.MemberStatuses(f.now, 1)[2].Reasons, []string{"its zone is evacuated by an operator"})
}

// A member that moves to another zone is listed by the zone that it announces.
func TestEvacuationFollowsTheAnnouncedZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.advance(40 * second)
	f.registry.SetEvacuatedZones([]string{"zone-1"})
	f.advance(second)
	is.Equal(f.formatStates(), "ready:100/draining:0")
	f.agents[0].Zone, f.agents[1].Zone = "zone-1", "zone-0"
	f.advance(2 * second)
	is.Equal(f.formatStates(), "draining:0/ready:100")
}

// Searches rely on it: a member of an evacuated zone has accepted new flows only since the
// first view after the evacuation's end.
func TestEvacuationEndsTheTimeOfAccepting(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Options{})
	f.advance(40 * second)
	since := f.latestView.Members[0].AcceptingSince
	is.True(since > 0)
	f.registry.SetEvacuatedZones([]string{"zone-0"})
	f.advance(second)
	is.Equal(f.latestView.Members[0].AcceptingSince, uint64(0))
	f.registry.SetEvacuatedZones(nil)
	f.advance(second)
	is.Equal(f.latestView.Members[0].AcceptingSince, f.latestView.Version.Number)
	is.True(f.latestView.Members[1].AcceptingSince <= since)
}
