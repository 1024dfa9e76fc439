package segment

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
)

func balancerAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// play lets n balancers send packets and the load change for ten seconds, and
// returns how often each was told.
func play(n int) map[netip.AddrPort]int {
	b := newBalancers()
	told := make(map[netip.AddrPort]int)
	for now := time.Duration(0); now < 10*time.Second; now += tickInterval {
		for i := range n {
			b.heard(now, balancerAddr(i))
		}
		for _, balancer := range b.due(now, routing.Load{RunningRequests: uint32(now / tickInterval)}) {
			told[balancer]++
		}
	}
	return told
}

// Few balancers hear of every change; many share what a daemon may send.
func TestReportsKeepToTheirBudget(t *testing.T) {
	const ticks = 100
	for _, c := range []struct{ balancers, each int }{
		{4, ticks},
		{reportsPerTick, ticks},
		{5 * reportsPerTick, ticks / 5},
		{maxTold, ticks * reportsPerTick / maxTold},
	} {
		is := is.New(t)
		told := play(c.balancers)
		is.Equal(len(told), c.balancers)
		for _, times := range told {
			is.True(times >= c.each && times <= c.each+1)
		}
	}
	is.New(t).Equal(len(play(maxTold+1)), 0) // answers to SYNs alone tell the load
}

func TestUnchangedLoadIsToldEachSecond(t *testing.T) {
	is := is.New(t)
	b := newBalancers()
	times := 0
	for now := time.Duration(0); now <= 3*time.Second; now += tickInterval {
		b.heard(now, balancerAddr(1))
		times += len(b.due(now, routing.Load{Flows: 3}))
	}
	is.Equal(times, 4)
	is.Equal(len(b.due(20*time.Second, routing.Load{})), 0) // it has sent nothing for long
}
