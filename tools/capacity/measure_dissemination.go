package main

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

func measureViews() []Series {
	heap := Series{ID: "view_heap", Title: "Views of a fleet as a balancer holds them", X: "hosts", Y: "bytes"}
	for _, hosts := range fleetHosts {
		heap.Points = append(heap.Points, Point{float64(hosts), heapOf(func() any { return decodedFleet(hosts / hostsPerService) })})
	}
	encoded := Series{ID: "view_bytes", Title: "Encoded view", X: "hosts of the service", Y: "bytes"}
	for _, hosts := range []int{1, 7, 70, 700} {
		b, err := cbor.Marshal(serviceView(0, hosts, view.Version{Epoch: 1, Number: 1}))
		must(err)
		encoded.Points = append(encoded.Points, Point{float64(hosts), float64(len(b))})
	}
	return []Series{heap, encoded}
}

// decodedFleet returns a balancer whose views were decoded from items.
func decodedFleet(services int) *flow.Balancer {
	b := flow.NewBalancer(time.Minute)
	at := view.Version{Epoch: 1, Number: 1}
	bindings := make([]flow.Binding, 0, services)
	for i := range services {
		var u proto.Update
		must(u.Add(serviceItem(i, at)))
		must(u.Add(viewItem(i, at)))
		b.SetView(0, u.Views[0])
		bindings = append(bindings, flow.Binding{Address: u.Services[0].Addresses[0], Service: u.Services[0].ID})
	}
	b.SetBindings(at, bindings)
	return b
}

// link joins a root to one sink by encoded messages and counts their bytes.
type link struct {
	root    *dissemination.Root
	sink    *dissemination.Sink
	adopt   func(dissemination.Item)
	session uint64
	bytes   int
}

func newRoot(services int) *dissemination.Root {
	root, err := dissemination.NewRoot(1, dissemination.NewStore(dissemination.StoreOptions{}), dissemination.SourceOptions{
		MaxSubscribers: 1 << 14, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	must(err)
	for i := range services {
		publish(root, serviceItem(i, root.NextVersion()))
		publish(root, viewItem(i, root.NextVersion()))
	}
	return root
}

func publish(root *dissemination.Root, it dissemination.Item) {
	_, err := root.Publish(it)
	must(err)
}

func newLink(root *dissemination.Root, adopt func(dissemination.Item)) *link {
	sink := dissemination.NewSink(0, dissemination.NewStore(dissemination.StoreOptions{DropBodies: true}), dissemination.SinkOptions{DaemonID: "balancer"})
	return &link{root: root, sink: sink, adopt: adopt}
}

func (l *link) connect() {
	l.session++
	l.root.RecordConfirmation(0)
	l.pass(l.take(l.sink.Connect(0, l.session)))
}

// tick sends what is due and delivers everything that follows from it.
func (l *link) tick() { l.pass(l.down(l.root.Tick(0))) }

func (l *link) pass(queue []dissemination.UpstreamMessage) {
	for ; len(queue) > 0; queue = queue[1:] {
		l.count(queue[0])
		queue = append(queue, l.down(l.root.Receive(0, 1, queue[0]))...)
	}
}

func (l *link) down(all []dissemination.Delivery) (answers []dissemination.UpstreamMessage) {
	for _, d := range all {
		b := l.count(d.Message)
		var m dissemination.DownstreamMessage
		must(cbor.Unmarshal(b, &m))
		answers = append(answers, l.take(l.sink.Receive(0, m))...)
	}
	return answers
}

func (l *link) count(m any) []byte {
	b, err := cbor.Marshal(m)
	must(err)
	l.bytes += len(b)
	return b
}

func (l *link) take(out dissemination.Output) []dissemination.UpstreamMessage {
	for _, it := range out.Applied {
		l.adopt(it)
	}
	return out.Messages
}

func measureStores() []Series {
	leaf := Series{ID: "sink_heap", Title: "Dissemination state of a daemon", X: "hosts", Y: "bytes"}
	relay := Series{ID: "relay_heap", Title: "Dissemination state of a relay or replica", X: "hosts", Y: "bytes"}
	for _, hosts := range fleetHosts {
		services := hosts / hostsPerService
		relay.Points = append(relay.Points, Point{float64(hosts), heapOf(func() any { return newRoot(services) })})
		root := newRoot(services)
		leaf.Points = append(leaf.Points, Point{float64(hosts), heapOf(func() any {
			l := newLink(root, func(dissemination.Item) {})
			l.connect()
			root.Disconnect(0, 1)
			return l.sink
		})})
		runtime.KeepAlive(root)
	}
	return []Series{leaf, relay}
}

// measureAdopt times one view change at a balancer, from the encoded batch to
// the view in force, and the root's and the link's part of it.
func measureAdopt() []Series {
	s := Series{ID: "adopt_ns", Title: "One view change: number, encode, decode, put in force, acknowledge", X: "hosts", Y: "ns"}
	for _, hosts := range fleetHosts {
		services := hosts / hostsPerService
		root := newRoot(services)
		b := flow.NewBalancer(0)
		l := newLink(root, adoptInto(b))
		l.connect()
		s.Points = append(s.Points, Point{float64(hosts), nsPerOp(func(i int) {
			publish(root, viewItem(i%services, root.NextVersion()))
			l.tick()
		})})
	}
	return []Series{s}
}

func adoptInto(b *flow.Balancer) func(dissemination.Item) {
	return func(it dissemination.Item) {
		var u proto.Update
		must(u.Add(it))
		for _, v := range u.Views {
			b.SetView(0, v)
		}
	}
}

// measureFanOut times one view change at a relay, encoded for each subscriber.
func measureFanOut() []Series {
	s := Series{ID: "fanout_ns", Title: "One view change at a relay, encoded for each subscriber of all services", X: "subscribers", Y: "ns"}
	for _, subscribers := range []int{10, 30, 100, 310, 1_000} {
		root := newRoot(1_900)
		for peer := range dissemination.PeerID(subscribers) {
			root.Receive(0, peer, dissemination.UpstreamMessage{Session: 1, Subscribe: &dissemination.Subscribe{
				DaemonID: fmt.Sprint(peer), Position: root.Store().Position(),
			}})
		}
		root.Tick(0)
		s.Points = append(s.Points, Point{float64(subscribers), nsPerOp(func(i int) {
			publish(root, viewItem(i%1_900, root.NextVersion()))
			for _, d := range root.Tick(0) {
				_, err := cbor.Marshal(d.Message)
				must(err)
				ack := &dissemination.Ack{Received: d.Message.Batch.To, Applied: d.Message.Batch.To}
				root.Receive(0, d.Peer, dissemination.UpstreamMessage{Session: 1, Ack: ack})
			}
		})})
	}
	return []Series{s}
}

// measureCatchUp brings a balancer back after changes to distinct services.
func measureCatchUp() []Series {
	sizes := Series{ID: "catchup_bytes", Title: "Bytes of a daemon's return after missed changes", X: "services changed", Y: "bytes"}
	millis := Series{ID: "catchup_ms", Title: "Processor time of a daemon's return, both ends", X: "services changed", Y: "ms"}
	services := int(target.Services)
	root := newRoot(services)
	b := flow.NewBalancer(0)
	l := newLink(root, adoptInto(b))
	l.connect()
	for _, missed := range []int{19, 190, 500, 1_900, 19_000} {
		root.Disconnect(0, 1)
		for i := range missed {
			publish(root, viewItem(i, root.NextVersion()))
		}
		root.Tick(0)
		l.bytes = 0
		began := cpuTime()
		l.connect()
		millis.Points = append(millis.Points, Point{float64(missed), float64(cpuTime()-began) / 1e6})
		sizes.Points = append(sizes.Points, Point{float64(missed), float64(l.bytes)})
	}
	return []Series{sizes, millis, measureDeflate()}
}

// measureDeflate compresses the whole state as the changes of one message.
func measureDeflate() Series {
	s := Series{ID: "deflate_bytes", Title: "Encoded state, compressed", X: "services", Y: "bytes"}
	at := view.Version{Epoch: 1, Number: 1}
	for _, services := range []int{19, 190, 1_900, 19_000} {
		var out bytes.Buffer
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		must(err)
		encoder := cbor.NewEncoder(w)
		for i := range services {
			must(encoder.Encode(serviceItem(i, at)))
			must(encoder.Encode(viewItem(i, at)))
		}
		must(w.Close())
		s.Points = append(s.Points, Point{float64(services), float64(out.Len())})
	}
	return s
}
