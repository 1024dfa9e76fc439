package main

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
)

// fleetHosts are the fleets that are held in one process.
var fleetHosts = []int{140, 1_400, 14_000, 140_000}

const forwardTuples = 1 << 14

func tuple(i, services int) flow.Tuple {
	caller := netip.AddrFrom4([4]byte{100, 64 | byte(i>>16&0x3f), byte(i >> 8), byte(i)})
	return flow.Tuple{
		Caller:  netip.AddrPortFrom(caller, uint16(1024+i*7919%60000)),
		Service: serviceAddr(i % services),
	}
}

// balancerOf returns a balancer that holds some services.
func balancerOf(services, hosts int) *flow.Balancer {
	b := flow.NewBalancer(time.Minute)
	at := view.Version{Epoch: 1, Number: 1}
	bindings := make([]flow.Binding, 0, services)
	for i := range services {
		bindings = append(bindings, flow.Binding{Address: serviceAddr(i), Service: view.ServiceID(i + 1)})
		b.SetView(0, serviceView(i, hosts, at))
	}
	b.SetBindings(at, bindings)
	return b
}

func measureForward() []Series {
	fleet := Series{ID: "forward_fleet", Title: "Forward decision, 7 hosts per service", X: "hosts", Y: "ns"}
	for _, hosts := range fleetHosts {
		services := hosts / hostsPerService
		fleet.Points = append(fleet.Points, Point{float64(hosts), forwardNs(balancerOf(services, hostsPerService), services)})
	}
	wide := Series{ID: "forward_service", Title: "Forward decision, one service", X: "hosts of the service", Y: "ns"}
	for _, hosts := range []int{7, 70, 700, 5_000} {
		wide.Points = append(wide.Points, Point{float64(hosts), forwardNs(balancerOf(1, hosts), 1)})
	}
	return []Series{fleet, wide}
}

func forwardNs(b *flow.Balancer, services int) float64 {
	tuples := make([]flow.Tuple, forwardTuples)
	for i := range tuples {
		tuples[i] = tuple(i, services)
	}
	return nsPerOp(func(i int) {
		_, err := b.Forward(tuples[i%forwardTuples])
		must(err)
	})
}

// agentOf returns the agent beside the first member of a view, with flows that
// it owns.
func agentOf(v *view.View, flows int) (*flow.Agent, flow.Peer) {
	self := flow.PeerOf(v, 0)
	a := flow.NewAgent(flow.AgentOptions{Self: self})
	a.SetService(v.Service, v.Version, []netip.AddrPort{serviceAddr(0)})
	a.SetView(0, v)
	b := balancerOn(v)
	for i := 0; a.OwnedCount() < flows; i++ {
		if p := packetTo(b, i, self); p != nil {
			a.Receive(0, p)
		}
	}
	return a, self
}

// balancerOn returns a balancer that holds one view of the first service.
func balancerOn(v *view.View) *flow.Balancer {
	b := flow.NewBalancer(time.Minute)
	b.SetView(0, v)
	b.SetBindings(v.Version, []flow.Binding{{Address: serviceAddr(0), Service: v.Service}})
	return b
}

// packetTo returns the packet of flow i if a balancer forwards it to an agent.
func packetTo(b *flow.Balancer, i int, to flow.Peer) *flow.Packet {
	t := tuple(i, 1)
	d, err := b.Forward(t)
	must(err)
	if d.Target.Seed != to.Seed {
		return nil
	}
	p := d.Packet(t)
	return &p
}

func measureFlows() []Series {
	heap := Series{ID: "flow_bytes", Title: "Agent's flow table", X: "flows", Y: "bytes"}
	deliver := Series{ID: "deliver_ns", Title: "Agent's decision on a packet of a known flow", X: "flows", Y: "ns"}
	for _, flows := range []int{1_000, 10_000, 100_000, 300_000} {
		v := serviceView(0, hostsPerService, view.Version{Epoch: 1, Number: 1})
		a, self := agentOf(v, flows)
		heap.Points = append(heap.Points, Point{float64(flows), float64(a.TableBytes())})
		b := balancerOn(v)
		var packets []*flow.Packet
		for i := 0; len(packets) < 4096; i++ {
			if p := packetTo(b, i, self); p != nil {
				packets = append(packets, p)
			}
		}
		deliver.Points = append(deliver.Points, Point{float64(flows), nsPerOp(func(i int) {
			p := *packets[i%len(packets)]
			a.Receive(0, &p)
		})})
	}
	return []Series{heap, deliver}
}

// measurePointers counts what an agent sends when a member comes back to its
// service of 7: a seventh of the flows are now placed elsewhere, and the agents
// there are told who owns them.
func measurePointers() []Series {
	s := Series{ID: "pointer_bytes", Title: "Pointers that an agent pushes after a member joined its service of 7", X: "flows", Y: "bytes"}
	without := serviceView(0, hostsPerService, view.Version{Epoch: 1, Number: 1})
	without.Members[1].State, without.Members[1].Weight = view.Draining, 0
	without.Prepare()
	all := serviceView(0, hostsPerService, view.Version{Epoch: 1, Number: 2})
	for _, flows := range []int{40, 400, 1_300, 13_000} {
		a, self := agentOf(without, flows)
		p := locator.NewPusher(locator.Options{Self: self, Flows: a})
		p.SetView(0, without)
		drain(p, 0)
		p.SetView(time.Second, all)
		s.Points = append(s.Points, Point{float64(flows), float64(drain(p, time.Second))})
	}
	return []Series{s}
}

// drain takes everything that a pusher sends, acknowledges it and returns its
// bytes.
func drain(p *locator.Pusher, now time.Duration) int {
	bytes := 0
	for {
		messages := p.Tick(now)
		if len(messages) == 0 {
			return bytes
		}
		for _, m := range messages {
			b, err := cbor.Marshal(m.Batch)
			must(err)
			bytes += len(b)
			p.HandleAck(locator.Ack{Sequence: m.Batch.Sequence, From: m.To})
		}
		now += time.Millisecond
	}
}
