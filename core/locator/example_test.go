package locator_test

import (
	"fmt"
	"net/netip"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
)

func Example() {
	address := netip.MustParseAddrPort("192.0.2.1:443")
	before := view.New(1, view.Version{Epoch: 1, Number: 1}, []view.BackendServer{
		{ID: "a", Incarnation: 1, State: view.Ready, Weight: view.FullWeight},
	})
	after := view.New(1, view.Version{Epoch: 1, Number: 2}, []view.BackendServer{
		{ID: "a", Incarnation: 1, State: view.Draining},
		{ID: "b", Incarnation: 1, State: view.Ready, Weight: view.FullWeight},
	})
	self := flow.PeerOf(before, 0)
	agent := flow.NewAgent(flow.AgentOptions{Self: self})
	agent.SetService(1, view.Version{}, []netip.AddrPort{address})
	agent.SetView(0, before)
	pusher := locator.NewPusher(locator.Options{Self: self, Flows: agent})
	pusher.SetView(0, before)

	tuple := flow.Tuple{Caller: netip.MustParseAddrPort("198.51.100.7:5000"), Service: address}
	agent.Receive(0, &flow.Packet{
		Service: 1, TargetIncarnation: 1, Ballot: flow.Ballot{Version: before.Version}, EarlierPicksComplete: true, Tuple: tuple,
	})
	agent.SetView(0, after)
	pusher.SetView(0, after)
	for _, m := range pusher.Tick(0) {
		fmt.Println(m.To == flow.PeerOf(after, 1), len(m.Batch.Flows))
	}
	// Output: true 1
}
