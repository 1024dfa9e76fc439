package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// BenchmarkDrain measures how long after a drain the last of two balancers
// takes no new flow for the backend server any more, over control connections
// of 4 ms one way that lose 5%. The target is 3 s.
func BenchmarkDrain(b *testing.B) {
	const service, agents = 1, 3
	f := newFleet(b, proto.Service{ID: service, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr}})
	f.via = startPath(b, standin.PathOptions{
		Target: f.control.Addr(), Delay: 4 * time.Millisecond, Loss: 0.05, Seed: 1,
	}).Addr()
	for i := range agents {
		echo, err := standin.StartEcho(standin.EchoOptions{Name: fmt.Sprintf("bench-%d", i)})
		if err != nil {
			b.Fatal(err)
		}
		defer echo.Close()
		f.agent("floor", echo.Addr())
	}
	first, second := f.balancer("balancer-1"), f.balancer("balancer-2")
	waitForMembers(b, first, second, agents)
	available := func(want int) {
		for first.AvailableCount(service) != want || second.AvailableCount(service) != want {
			time.Sleep(time.Millisecond)
		}
	}
	available(agents)
	var worst time.Duration
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		f.control.SetDrained([]string{"floor-1"})
		available(agents - 1)
		worst = max(worst, time.Since(start))
		f.control.SetDrained(nil)
		available(agents)
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
