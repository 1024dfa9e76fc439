package dissemination

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// Size of the fleet in the benchmarks.
const (
	benchServices  = 19000
	benchBodyBytes = 700 // bytes of a view of seven backend servers
)

func benchRoot(b *testing.B, services int) *Root {
	b.Helper()
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{Rand: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		b.Fatal(err)
	}
	for i := range services {
		publishBench(b, root, i)
	}
	return root
}

func publishBench(b *testing.B, root *Root, service int) {
	b.Helper()
	it := Item{Key: fmt.Sprint("view/", service), Version: root.NextVersion(), Body: make([]byte, benchBodyBytes)}
	if _, err := root.Publish(it); err != nil {
		b.Fatal(err)
	}
}

// benchConnection connects a root to a sink and counts the bytes of the batches.
type benchConnection struct {
	root  *Root
	sink  *Sink
	bytes int
}

// deliverUpstream delivers messages to the root, and the replies of both sides, in
// order.
func (l *benchConnection) deliverUpstream(now time.Duration, out Output) {
	for queue := out.Messages; len(queue) > 0; queue = queue[1:] {
		queue = append(queue, l.receiveAll(now, l.root.Receive(now, 1, queue[0]))...)
	}
}

func (l *benchConnection) deliverDownstream(now time.Duration, all []Delivery) {
	l.deliverUpstream(now, Output{Messages: l.receiveAll(now, all)})
}

func (l *benchConnection) receiveAll(now time.Duration, all []Delivery) (replies []UpstreamMessage) {
	for _, d := range all {
		if d.Message.Batch != nil {
			for _, c := range d.Message.Batch.Changes {
				l.bytes += c.Item.encodedSize()
			}
		}
		replies = append(replies, l.sink.Receive(now, d.Message).Messages...)
	}
	return replies
}

// BenchmarkChange compares sending one change to one daemon as a delta with sending
// the full state.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{20, 1900, benchServices} {
		b.Run(fmt.Sprintf("delta/services=%d", services), func(b *testing.B) {
			root := benchRoot(b, services)
			l := &benchConnection{root: root, sink: NewSink(0, NewStore(StoreOptions{}), SinkOptions{DaemonID: "d"})}
			l.deliverUpstream(0, l.sink.Connect(0, 1))
			l.bytes = 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				publishBench(b, root, i%services)
				l.deliverDownstream(0, root.Tick(0))
			}
			b.ReportMetric(float64(l.bytes)/float64(b.N), "B-sent/op")
		})
		b.Run(fmt.Sprintf("naive/services=%d", services), func(b *testing.B) {
			root := benchRoot(b, services)
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				publishBench(b, root, i%services)
				state := map[string]Item{}
				for _, it := range root.Store().Items() {
					bytes += it.encodedSize()
					state[it.Key] = it
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
		})
	}
}

// BenchmarkCatchUp measures a daemon that reconnects after missed changes.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{500, benchServices} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			root := benchRoot(b, benchServices)
			l := &benchConnection{root: root, sink: NewSink(0, NewStore(StoreOptions{}), SinkOptions{DaemonID: "d"})}
			l.deliverUpstream(0, l.sink.Connect(0, 1))
			l.bytes = 0
			session := uint64(1)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				root.Disconnect(0, 1)
				for i := range missed {
					publishBench(b, root, i)
				}
				root.Tick(0)
				session++
				b.StartTimer()
				l.deliverUpstream(0, l.sink.Connect(0, session))
			}
			b.ReportMetric(float64(l.bytes)/float64(b.N), "B-sent/op")
		})
	}
}

// BenchmarkFanOut measures one change at a relay with many subscribers.
func BenchmarkFanOut(b *testing.B) {
	for _, subscribers := range []int{10, 300} {
		b.Run(fmt.Sprintf("subscribers=%d", subscribers), func(b *testing.B) {
			root := benchRoot(b, benchServices)
			for peer := range PeerID(subscribers) {
				root.Receive(0, peer, UpstreamMessage{Session: 1, Subscribe: &Subscribe{
					DaemonID: fmt.Sprint(peer), Position: root.Store().Position(),
				}})
			}
			root.Tick(0)
			b.ResetTimer()
			for i := range b.N {
				publishBench(b, root, i%benchServices)
				for _, d := range root.Tick(0) {
					root.Receive(0, d.Peer, UpstreamMessage{Session: 1, Ack: &Ack{Received: d.Message.Batch.To}})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*subscribers), "ns/subscriber")
		})
	}
}

// BenchmarkMemory reports the memory per service of a daemon that drops bodies and
// of a relay.
func BenchmarkMemory(b *testing.B) {
	for _, drop := range []bool{true, false} {
		b.Run(fmt.Sprintf("bodies=%t", !drop), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				store := NewStore(StoreOptions{DropBodies: drop})
				for i := range benchServices {
					it := Item{Key: fmt.Sprint("view/", i), Version: Position{Epoch: 1, Number: uint64(i)}, Body: make([]byte, benchBodyBytes)}
					store.put(Change{Number: uint64(i), Item: it})
					store.dropBodies([]Item{it})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchServices, "B/service")
				runtime.KeepAlive(store)
			}
		})
	}
}
