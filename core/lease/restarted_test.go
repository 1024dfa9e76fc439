package lease

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// restartedFleet announces agents 1 to n of a registered fleet of four, each with a backend
// server that has started just before its agent's process.
func restartedFleet(t *testing.T, r *Registry, n int) {
	t.Helper()
	for i := 1; i <= n; i++ {
		announceStartedWithAgent(t, r, i, 2)
	}
}

func announceStartedWithAgent(t *testing.T, r *Registry, n int, incarnation view.Incarnation) {
	t.Helper()
	is.New(t).NoErr(r.Announce(0, 1, view.Announcement{
		ID: fmt.Sprint("host-", n), Incarnation: incarnation, Packets: agentAddr(n), Healthy: true, BackendTracksFlows: true,
		Slots: 4, Sequence: 1, StartedWithAgent: true,
	}))
}

// A backend server that has started with its agent may have flows from an earlier process
// of the agent. Only the restart of the whole fleet shows that it has none.
func TestBackendServersThatStartedWithTheirAgents(t *testing.T) {
	t.Run("the fleet has restarted", func(t *testing.T) {
		is := is.New(t)
		r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
		restartedFleet(t, r, 3)
		v := r.Tick(collectionPeriod)[0]
		is.True(!v.Partial)
		for i := range v.Members {
			is.Equal(v.Members[i].FirstAccepting, v.Version.Number)
		}
	})
	t.Run("a backend server of before is there", func(t *testing.T) {
		is := is.New(t)
		r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
		restartedFleet(t, r, 2)
		announceAuthoritative(t, r, 0, 3)
		v := r.Tick(collectionPeriod)[0]
		is.True(v.Partial)
		for i := range v.Members {
			is.Equal(v.Members[i].FirstAccepting, uint64(0))
		}
	})
	t.Run("the fleet shows later that it has restarted", func(t *testing.T) {
		is := is.New(t)
		r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
		restartedFleet(t, r, 2)
		first := r.Tick(collectionPeriod)[0]
		is.Equal(first.Members[0].FirstAccepting, uint64(0))
		announceStartedWithAgent(t, r, 3, 2)
		second := r.Tick(collectionPeriod)[0]
		is.Equal(second.Members[0].FirstAccepting, first.Version.Number)
		is.Equal(second.Members[2].FirstAccepting, second.Version.Number)
	})
	t.Run("one starts again later", func(t *testing.T) {
		is := is.New(t)
		r := newLeadingRegistry(agentAddr(1), agentAddr(2), agentAddr(3), agentAddr(4))
		restartedFleet(t, r, 3)
		r.Tick(collectionPeriod)
		announceStartedWithAgent(t, r, 2, 3)
		v := r.Tick(collectionPeriod + time.Second)[0]
		is.True(v.Members[0].FirstAccepting > 0)
		is.Equal(v.Members[1].FirstAccepting, uint64(0))
	})
}

// Guards against an agent that is refused for good: it is told the incarnation that its VM
// has announced, and nothing of one that another VM announces.
func TestIncarnationIsToldToTheVMThatAnnouncedIt(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Options{})
	here, there := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	a := view.Announcement{ID: "a", Incarnation: 5, Sequence: 1, Packets: here, Requests: here}
	is.NoErr(r.Announce(0, 1, a))
	a.Incarnation = 3
	is.True(r.Announce(0, 1, a) != nil)
	is.Equal(r.IncarnationAt("a", here.Addr()), view.Incarnation(5))
	is.Equal(r.IncarnationAt("a", there.Addr()), view.Incarnation(0))
	is.Equal(r.IncarnationAt("b", here.Addr()), view.Incarnation(0))
}
