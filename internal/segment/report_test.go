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

// simulateReports simulates n balancers that send packets and a load that changes
// with every tick for ten seconds. It returns the number of reports to each balancer.
func simulateReports(n int) map[netip.AddrPort]int {
	b := newLoadReporter()
	reports := make(map[netip.AddrPort]int)
	for now := time.Duration(0); now < 10*time.Second; now += tickInterval {
		for i := range n {
			b.recordPacket(now, balancerAddr(i))
		}
		for _, balancer := range b.takeDue(now, routing.Load{RunningRequests: uint32(now / tickInterval)}) {
			reports[balancer]++
		}
	}
	return reports
}

// A few balancers receive every change of the load; many share the send rate of a
// daemon.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	const ticks = 100
	for _, c := range []struct{ balancers, reportsEach int }{
		{4, ticks},
		{maxReportsPerTick, ticks},
		{5 * maxReportsPerTick, ticks / 5},
		{maxReportedBalancers, ticks * maxReportsPerTick / maxReportedBalancers},
	} {
		is := is.New(t)
		reports := simulateReports(c.balancers)
		is.Equal(len(reports), c.balancers)
		for _, count := range reports {
			is.True(count >= c.reportsEach && count <= c.reportsEach+1)
		}
	}
	is.New(t).Equal(len(simulateReports(maxReportedBalancers+1)), 0) // only notifications for SYNs carry the load
}

func TestUnchangedLoadIsReportedEverySecond(t *testing.T) {
	is := is.New(t)
	b := newLoadReporter()
	reports := 0
	for now := time.Duration(0); now <= 3*time.Second; now += tickInterval {
		b.recordPacket(now, balancerAddr(1))
		reports += len(b.takeDue(now, routing.Load{Flows: 3}))
	}
	is.Equal(reports, 4)
	is.Equal(len(b.takeDue(20*time.Second, routing.Load{})), 0) // no packet within balancerActiveTime
}
