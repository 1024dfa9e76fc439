package node

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/role/agent"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// changes starts a service with four backend servers behind two balancers.
type changes struct {
	*testFleet
	echoes []*standin.Echo
	agents []*agent.Agent
}

func newChanges(t *testing.T) *changes {
	c := &changes{testFleet: newFleet(t, proto.Service{
		ID: 1, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr},
	})}
	for range 4 {
		c.join()
	}
	return c
}

// join adds a backend server with its agent.
func (c *changes) join() {
	echo, err := standin.StartEcho(standin.EchoOptions{Name: fmt.Sprintf("bench-%d", len(c.echoes))})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = echo.Close() })
	c.echoes = append(c.echoes, echo)
	c.agents = append(c.agents, c.agent("floor", echo.Addr()))
}

// exchange sends one message on each session and reads what is answered. It
// returns the number of answers.
func exchange(t *testing.T, sessions []*standin.Session) (answered int) {
	t.Helper()
	for _, s := range sessions {
		if _, err := s.Send(); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range sessions {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		if s.Receive(ctx) == nil {
			answered++
		}
		cancel()
	}
	return answered
}

// TestSessionsSurviveAllChangesAtOnce restarts a balancer, joins a backend
// server, drains one, changes the weight of another and cancels the drain, all
// while sessions are open. Each session's messages must reach one server only.
func TestSessionsSurviveAllChangesAtOnce(t *testing.T) {
	const sessionCount = 100
	is := is.New(t)
	c := newChanges(t)
	first, second := c.balancer("balancer-1"), c.balancer("balancer-2")
	waitForMembers(t, first, second, 4)
	var sessions []*standin.Session
	for id := range uint64(sessionCount) {
		s, err := standin.StartSession(standin.SessionOptions{ID: 100 + id, Targets: []netip.AddrPort{floorAddr}})
		is.NoErr(err)
		defer s.Close()
		sessions = append(sessions, s)
	}
	rounds := func(d time.Duration) (last int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			last = exchange(t, sessions)
		}
		return last
	}
	rounds(time.Second)
	drained := c.agents[0].OwnedFlowCount()
	is.True(drained > 0)

	is.NoErr(first.Close())
	c.join()
	c.control.SetDrained([]string{"floor-1"})
	c.control.SetWeights(map[string]uint32{"floor-2": 20})
	third := c.balancer("balancer-3")
	waitForMembers(t, second, third, 4)
	rounds(2 * time.Second)
	is.Equal(c.agents[0].OwnedFlowCount(), drained) // keeps its flows, takes no others
	c.control.SetDrained(nil)
	is.NoErr(second.Close())
	is.Equal(rounds(2*time.Second), sessionCount)

	var relayed uint64
	for _, a := range c.agents {
		relayed += a.Counters().(agent.Counters).Relayed
	}
	answered := 0
	for _, s := range sessions {
		r := s.Report()
		is.Equal(len(r.Servers), 1)
		is.Equal(r.Duplicates, uint64(0))
		is.Equal(r.Foreign, uint64(0))
		answered += int(r.Answered)
		servers := 0
		for _, e := range c.echoes {
			if e.Messages(100+uint64(sessionIndex(sessions, s))) > 0 {
				servers++
			}
		}
		is.Equal(servers, 1)
	}
	t.Logf("%d messages answered, %d relayed between agents", answered, relayed)
	is.True(relayed > 0) // some flows have moved in the views
}

func sessionIndex(all []*standin.Session, s *standin.Session) int {
	for i := range all {
		if all[i] == s {
			return i
		}
	}
	return -1
}

// TestCatalogueOverHTTP3SurvivesAllChangesAtOnce pulls one sheet through the
// same changes.
func TestCatalogueOverHTTP3SurvivesAllChangesAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, proto.Service{ID: 1, Name: "catalogue", Mode: proto.ModePacket, Addresses: []netip.AddrPort{catalogueAddr}})
	// The servers share one certificate, so that a broken flow would show as a
	// failed connection and not as an untrusted one.
	catalogue, err := standin.StartCatalogue(standin.CatalogueOptions{Name: "sheets"})
	is.NoErr(err)
	defer catalogue.Close()
	for range 3 {
		f.agent("catalogue", catalogue.Addr())
	}
	first, second := f.balancer("balancer-1"), f.balancer("balancer-2")
	waitForMembers(t, first, second, 3)
	sheet := download(t, catalogue.Trust(), func() {
		_ = first.Close()
		f.agent("catalogue", catalogue.Addr())
		f.control.SetDrained([]string{"catalogue-1", "catalogue-2"})
		f.control.SetWeights(map[string]uint32{"catalogue-3": 10})
		third := f.balancer("balancer-3")
		waitForMembers(t, second, third, 2)
		_ = second.Close()
	})
	is.Equal(sheet.Bytes, int64(sheetSize))
}

// startPath starts a path to a target that is closed with the test.
func startPath(t testing.TB, o standin.PathOptions) *standin.Path {
	t.Helper()
	p, err := standin.StartPath(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// TestSilentConnectionToControlCostsNoLease cuts the agents' connections to
// control while new ones work.
func TestSilentConnectionToControlCostsNoLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, proto.Service{ID: 1, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr}})
	path := startPath(t, standin.PathOptions{Target: f.control.Addr()})
	echo, err := standin.StartEcho(standin.EchoOptions{Name: "bench"})
	is.NoErr(err)
	defer echo.Close()
	b := f.balancer("balancer-1")
	f.via = path.Addr()
	a := f.agent("floor", echo.Addr())
	waitForMembers(t, b, b, 1)
	path.Forget()
	for a.Counters().(agent.Counters).UnresponsiveControl == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	before := f.control.Counters().(control.Counters).Announcements
	for f.control.Counters().(control.Counters).Announcements < before+3 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.control.Counters().(control.Counters).Lapses, uint64(0))
}
