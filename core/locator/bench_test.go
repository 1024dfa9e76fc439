package locator_test

import (
	"fmt"
	"net/netip"
	"testing"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/placement"
	"fulmarmount.org/core/view"
)

// BenchmarkViewChange measures the pushes of one of seven hosts after an eighth has joined,
// and after the host itself is drained.
func BenchmarkViewChange(b *testing.B) {
	const flowsPerHost = 2000
	members := func(n, draining int) []view.BackendServer {
		out := make([]view.BackendServer, n)
		for i := range out {
			out[i] = view.BackendServer{
				ID: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%4), Incarnation: 1,
				State: view.Ready, Weight: view.FullWeight,
			}
			if i == draining {
				out[i].State, out[i].Weight = view.Draining, 0
			}
		}
		return out
	}
	before := view.New(service, view.Version{Number: 1}, members(7, -1))
	for name, after := range map[string]*view.View{
		"join":  view.New(service, view.Version{Number: 2}, members(8, -1)),
		"drain": view.New(service, view.Version{Number: 2}, members(7, 0)),
	} {
		b.Run(name, func(b *testing.B) {
			self := flow.PeerOf(before, 0)
			agent := flow.NewAgent(flow.AgentOptions{Self: self})
			agent.SetService(service, view.Version{}, []netip.AddrPort{address})
			agent.SetView(0, before)
			for i := 0; agent.OwnedCount() < flowsPerHost; i++ {
				if placement.Pick(tupleOf(i).Key(), before) != 0 {
					continue
				}
				agent.Receive(0, &flow.Packet{
					Service: service, TargetIncarnation: 1, EarlierPicksComplete: true, Tuple: tupleOf(i),
					Ballot: flow.Ballot{Version: before.Version},
				})
			}
			var stats locator.Stats
			for b.Loop() {
				p := locator.NewPusher(locator.Options{Self: self, Flows: agent})
				p.SetView(0, before)
				p.SetView(0, after)
				for p.UnacknowledgedPointers() > int(p.Stats().Pointers) {
					p.Tick(0)
				}
				stats = p.Stats()
			}
			b.ReportMetric(float64(stats.Pointers*locator.PointerSize), "bytes")
			b.ReportMetric(float64(stats.Batches), "messages")
		})
	}
}
