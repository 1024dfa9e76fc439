package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

func Example() {
	address := netip.MustParseAddrPort("192.0.2.1:443")
	v := view.New(1, view.Version{Epoch: 1, Number: 1}, []view.BackendServer{
		{ID: "a", Incarnation: 1, State: view.Ready, Weight: view.FullWeight},
	})
	balancer := flow.NewBalancer(30 * time.Second)
	balancer.SetBindings(view.Version{Epoch: 1}, []flow.Binding{{Address: address, Service: 1}})
	balancer.SetView(0, v)
	agent := flow.NewAgent(flow.AgentOptions{Self: flow.PeerOf(v, 0)})
	agent.SetService(1, view.Version{Epoch: 1}, []netip.AddrPort{address})
	agent.SetView(0, v)

	tuple := flow.Tuple{Caller: netip.MustParseAddrPort("198.51.100.7:5000"), Service: address}
	decision, err := balancer.Forward(tuple)
	if err != nil {
		fmt.Println(err)
		return
	}
	packet := decision.Packet(tuple)
	action := agent.Receive(time.Second, &packet)
	fmt.Println(action.Verdict == flow.Deliver, action.BecameOwner, agent.OwnedCount())
	// Output: true true 1
}
