package flow

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// readyView returns a view with n ready backend servers.
func readyView(n int, version uint64) *view.View {
	members := make([]view.BackendServer, n)
	for i := range members {
		members[i] = memberOf(i, view.FullWeight)
		members[i].ID = fmt.Sprintf("host-%04d", i)
	}
	return view.New(1, view.Version{Epoch: 1, Number: version}, members)
}

func newTestAgent(v *view.View, i int) *Agent {
	a := NewAgent(AgentOptions{Self: PeerOf(v, i)})
	a.SetService(v.Service, view.Version{}, []netip.AddrPort{serviceAddr})
	a.SetView(0, v)
	return a
}

func newTestBalancer(views ...*view.View) *Balancer {
	b := NewBalancer(time.Second)
	b.SetBindings(view.Version{Number: 1}, []Binding{{serviceAddr, 1}})
	for _, v := range views {
		b.SetView(0, v)
	}
	return b
}

func TestForward(t *testing.T) {
	is := is.New(t)
	before, after := readyView(7, 1), readyView(8, 2)
	b, withoutHistory := newTestBalancer(before, after), newTestBalancer(after)
	is.True(!b.SetView(0, before)) // older
	moved := 0
	for i := range 1000 {
		d, err := b.Forward(tupleOf(i))
		is.NoErr(err)
		f, err := withoutHistory.Forward(tupleOf(i))
		is.NoErr(err)
		is.Equal(d.Target, f.Target) // the pick depends on the view alone
		if !d.EarlierPicks[0].IsZero() {
			moved++
			is.Equal(d.Target.Seed, after.Seed(7)) // flows move only to the member that joined
		}
	}
	is.True(moved > 75 && moved < 175) // an eighth, within five standard deviations
	b.ExpireEarlierViews(2 * time.Second)
	d, err := b.Forward(tupleOf(1))
	is.NoErr(err)
	is.Equal(d.EarlierPicks, EarlierPicks{})
}

func TestForwardDrops(t *testing.T) {
	is := is.New(t)
	empty := view.New(1, view.Version{Number: 1}, nil)
	otherAddress := Tuple{Caller: tupleOf(1).Caller, Service: netip.MustParseAddrPort("127.1.0.2:443")}
	for _, c := range []struct {
		b      *Balancer
		tuple  Tuple
		err    error
		reason DropReason
	}{
		{newTestBalancer(), tupleOf(1), ErrNoView, NoView},
		{newTestBalancer(empty), tupleOf(1), ErrNoTarget, NoTarget},
		{newTestBalancer(readyView(7, 1)), otherAddress, ErrUnknownAddress, UnknownAddress},
	} {
		_, err := c.b.Forward(c.tuple)
		is.Equal(err, c.err)
		is.Equal(c.b.Drops()[c.reason], uint64(1))
	}
}

// TestReassignedAddress covers an address that moved to another service while
// only the agent or only the balancer has the new configuration.
func TestReassignedAddress(t *testing.T) {
	is := is.New(t)
	v := readyView(1, 1)
	b, a := newTestBalancer(v), newTestAgent(v, 0)
	d, err := b.Forward(tupleOf(1))
	is.NoErr(err)
	p := d.Packet(tupleOf(1))
	is.Equal(a.Receive(0, &p).Verdict, Deliver)

	is.True(a.SetService(1, view.Version{Number: 2}, nil)) // only the agent has the new configuration
	p = d.Packet(tupleOf(1))
	is.Equal(a.Receive(0, &p).Reason, WrongAddress) // also for the flow that it owned
	is.True(!a.SetService(1, view.Version{Number: 1}, []netip.AddrPort{serviceAddr}))

	is.True(b.SetBindings(view.Version{Number: 2}, []Binding{{serviceAddr, 2}})) // now the balancer has it too
	is.True(!b.SetBindings(view.Version{Number: 1}, []Binding{{serviceAddr, 1}}))
	_, err = b.Forward(tupleOf(1))
	is.Equal(err, ErrNoView)
}

func TestDropReasons(t *testing.T) {
	v := readyView(1, 1)
	d, _ := newTestBalancer(v).Forward(tupleOf(1))
	cases := []struct {
		name   string
		change func(*Packet)
		want   DropReason
	}{
		{"another service", func(p *Packet) { p.Service = 2 }, WrongService},
		{"an earlier run", func(p *Packet) { p.TargetIncarnation-- }, WrongIncarnation},
		{"a later run", func(p *Packet) { p.TargetIncarnation++ }, WrongIncarnation},
		{"another address", func(p *Packet) { p.Tuple.Service = netip.MustParseAddrPort("127.1.0.2:443") }, WrongAddress},
		{"too many hops", func(p *Packet) { p.Hops = 25 }, HopLimit},
		{"kind out of range", func(p *Packet) { p.Kind = kindCount }, Malformed},
		{"too many non-owners", func(p *Packet) { p.NonOwnerCount = MaxNonOwners + 1 }, Malformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newTestAgent(v, 0)
			p := d.Packet(tupleOf(1))
			c.change(&p)
			is.Equal(a.Receive(0, &p), Action{Verdict: Drop, Reason: c.want})
			is.Equal(a.Stats().Dropped[c.want], uint64(1))
			is.Equal(a.OwnedCount(), 0)
		})
	}
	is.New(t).Equal(NewAgent(AgentOptions{}).Receive(0, &Packet{}).Reason, WrongService) // no service is set yet
}

func TestDrainingAgentAcquiresNoNewFlow(t *testing.T) {
	is := is.New(t)
	before, after := readyView(2, 1), readyView(2, 2)
	after.Members[0].State, after.Members[0].Weight = view.Draining, 0
	after.Prepare()
	a := newTestAgent(before, 0)
	owned := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: before.Version}, EarlierPicksComplete: true, Tuple: tupleOf(1)}
	first := owned
	is.True(a.Receive(0, &first).BecameOwner)
	a.SetView(0, after)
	is.Equal(a.Receive(0, &owned).Verdict, Deliver) // delivers flows that it owns
	unowned := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: before.Version}, EarlierPicksComplete: true, Tuple: tupleOf(2)}
	action := a.Receive(0, &unowned)
	is.Equal(action.Verdict, Relay)
	is.Equal(action.To, PeerOf(after, 1))
	allDraining := readyView(2, 3)
	for i := range allDraining.Members {
		allDraining.Members[i].State = view.Draining
	}
	allDraining.Prepare()
	a.SetView(0, allDraining)
	unowned = Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: allDraining.Version}, EarlierPicksComplete: true, Tuple: tupleOf(3)}
	is.Equal(a.Receive(time.Minute, &unowned).Reason, NoTarget) // the history window has ended
	_, err := newTestBalancer(allDraining).Forward(tupleOf(1))
	is.NoErr(err) // flows of draining backend servers are still forwarded
}

func TestUnresponsiveNonMemberIsSkipped(t *testing.T) {
	is := is.New(t)
	v, without := readyView(2, 1), readyView(1, 2)
	a := newTestAgent(v, 0)
	receive := func(now time.Duration, i int) Verdict {
		p := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: v.Version}, EarlierPicksComplete: true, Tuple: tupleOf(i), EarlierPicks: EarlierPicks{PeerOf(v, 1)}}
		return a.Receive(now, &p).Verdict
	}
	for i := range 4 {
		is.Equal(receive(time.Duration(i)*400*time.Millisecond, i), Relay)
	}
	is.Equal(receive(1300*time.Millisecond, 5), Relay) // a member is never skipped
	a.SetView(0, without)
	is.Equal(receive(1400*time.Millisecond, 6), Deliver)
	is.Equal(receive(3*time.Second, 7), Relay) // queried again after UnresponsiveAfter
	a.MarkResponsive(PeerOf(v, 1))
	is.Equal(receive(3100*time.Millisecond, 8), Relay)
}

func TestIdleFlowsExpire(t *testing.T) {
	is := is.New(t)
	v := readyView(1, 1)
	a := newTestAgent(v, 0)
	for i := range 100 {
		p := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: v.Version}, EarlierPicksComplete: true, Tuple: tupleOf(i)}
		a.Receive(0, &p)
	}
	a.StorePointers(0, Peer{Seed: 9, Incarnation: 1}, Peer{Seed: 9, Incarnation: 1}, []ID{tupleOf(1000).ID()})
	a.Touch(4*time.Minute, tupleOf(7).ID())
	sweep := func(now time.Duration) (ended int) {
		for turn := range shardCount {
			ended += len(a.Sweep(now, turn))
		}
		return ended
	}
	is.Equal(sweep(5*time.Minute), 0)
	is.Equal(sweep(6*time.Minute), 99)
	is.True(a.Owns(tupleOf(7).ID()))
	is.Equal(a.OwnedCount(), 1)
	is.Equal(a.FlowsByOwner()[1].Flows, 1) // pointers expire later
	a.RemoveFlow(tupleOf(7).ID())
	is.Equal(sweep(time.Hour), 0)
	is.Equal(len(a.FlowsByOwner()), 1)
}

func TestTableAgainstMap(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	var table table
	reference := map[ID]uint32{}
	for range 200_000 {
		id := ID{Key: uint64(rng.IntN(500)) << 55, Check: uint64(rng.IntN(4))} // clustered keys
		switch rng.IntN(3) {
		case 0:
			table.remove(id)
			delete(reference, id)
		case 1:
			seen := rng.Uint32()
			table.insert(id).lastUsed = seen
			reference[id] = seen
		default:
			e := table.find(id)
			seen, ok := reference[id]
			is.Equal(e != nil, ok)
			is.True(e == nil || e.lastUsed == seen)
		}
		is.Equal(table.count, len(reference))
		if rng.IntN(1000) == 0 {
			table.compact()
		}
	}
}

func TestFlowTableUsesAtMost64BytesPerFlow(t *testing.T) {
	is := is.New(t)
	v := readyView(1, 1)
	a := newTestAgent(v, 0)
	worst := 0.0
	for n := 1; n <= 300_000; n++ {
		p := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: v.Version}, EarlierPicksComplete: true, Tuple: tupleOf(n)}
		a.Receive(0, &p)
		if n >= 100_000 && n%20_000 == 0 {
			worst = max(worst, float64(a.TableBytes())/float64(n))
		}
	}
	t.Logf("at most %.1f bytes per flow from 100,000 to 300,000 flows", worst)
	is.True(worst <= 64)
}

func TestForwardAndReceiveDoNotAllocate(t *testing.T) {
	is := is.New(t)
	v := readyView(7, 1)
	b, a := newTestBalancer(v), newTestAgent(v, 0)
	i := 0
	p := Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: v.Version}, EarlierPicksComplete: true, Tuple: tupleOf(1)}
	first := p
	a.Receive(0, &p)
	is.Equal(testing.AllocsPerRun(1000, func() { i++; _, _ = b.Forward(tupleOf(i)) }), 0.0)
	is.Equal(testing.AllocsPerRun(1000, func() { p = first; a.Receive(0, &p) }), 0.0)
}
