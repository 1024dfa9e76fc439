package flow

import (
	"fmt"
	"testing"

	"fulmarmount.org/core/view"
)

func BenchmarkForward(b *testing.B) {
	for _, n := range []int{7, 100, 5000} {
		for _, settled := range []bool{true, false} {
			b.Run(fmt.Sprintf("hosts=%d/settled=%t", n, settled), func(b *testing.B) {
				balancer := newTestBalancer(readyView(n, 2))
				if !settled {
					balancer = newTestBalancer(readyView(n, 1), readyView(n+1, 2))
				}
				tuples := make([]Tuple, 4096)
				for i := range tuples {
					tuples[i] = tupleOf(i)
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					_, _ = balancer.Forward(tuples[i%len(tuples)])
					i++
				}
			})
		}
	}
}

func BenchmarkForwardParallel(b *testing.B) {
	balancer := newTestBalancer(readyView(7, 1))
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			_, _ = balancer.Forward(tupleOf(i & 0xfff))
		}
	})
}

func BenchmarkDeliver(b *testing.B) {
	const flows = 300_000
	v := readyView(1, 1)
	a := newTestAgent(v, 0)
	packet := func(i int) Packet {
		return Packet{Service: 1, TargetIncarnation: 1, Ballot: Ballot{Version: view.Version{Epoch: 1, Number: 1}}, EarlierPicksComplete: true, Tuple: tupleOf(i)}
	}
	for i := range flows {
		p := packet(i)
		a.Receive(0, &p)
	}
	i := 0
	var p Packet // reused, as a packet reader does
	b.ReportAllocs()
	for b.Loop() {
		p = packet(i * 7919 % flows)
		a.Receive(0, &p)
		i++
	}
	b.ReportMetric(float64(a.TableBytes())/flows, "bytes/flow")
}
