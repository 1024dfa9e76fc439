package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/keys"
	"fulmarmount.org/daemon/internal/packet"
	"fulmarmount.org/daemon/internal/proto"
	"fulmarmount.org/daemon/internal/udp"
)

// burst is the number of datagrams that wait in the socket at once.
const burst = 64

type benchKeys struct{ secret [keys.SecretSize]byte }

func (k *benchKeys) Active() (uint8, []byte)     { return 1, k.secret[:] }
func (k *benchKeys) Secret(uint8) ([]byte, bool) { return k.secret[:], true }
func listenLoopback(b *testing.B) *udp.Conn {
	b.Helper()
	conn, err := udp.Listen(udp.Options{Addr: netip.MustParseAddrPort("127.0.0.1:0"), ReadBuffer: 4 << 20})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// newBench returns a balancer that knows one service of 7 backend servers, all
// of which share one sink.
func newBench(b *testing.B, service, sink *udp.Conn) *Balancer {
	b.Helper()
	var members []view.BackendServer
	for i := range 7 {
		members = append(members, view.BackendServer{
			ID: fmt.Sprintf("host-%d", i), Incarnation: 1, Packets: sink.Addr(),
			State: view.Ready, Weight: view.FullWeight,
		})
	}
	lb := &Balancer{
		options:   Options{MTU: 1500, Log: zap.NewNop()},
		table:     newTable(),
		forwarder: newForwarder(time.Now),
		sealer:    packet.NewSealer(&benchKeys{}, 1),
		opener:    packet.NewOpener(&benchKeys{}, time.Now),
		envelopes: listenLoopback(b),
		listeners: make(map[listenKey]listener),
	}
	update := proto.Update{
		Services: []proto.Service{{ID: 1, Name: "bench", Mode: proto.ModePacket, Addresses: []netip.AddrPort{service.Addr()}}},
		Views:    []*view.View{view.New(1, view.Version{Epoch: 1, Number: 1}, members)},
	}
	lb.forwarder.adopt(lb.table.adopt(update), update.Views)
	return lb
}

// BenchmarkForward measures one datagram read from a caller and sent to an
// agent, beside a bare relay that only reads and sends.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{64, 1250} {
		b.Run(fmt.Sprintf("relay/%d", size), func(b *testing.B) {
			in, sink, out := listenLoopback(b), listenLoopback(b), listenLoopback(b)
			buf := make([]byte, 1500)
			benchBursts(b, in, size, func() {
				n, _, _, err := in.Read(buf)
				if err != nil {
					b.Fatal(err)
				}
				_ = out.Write(buf[:n], sink.Addr())
			})
		})
		b.Run(fmt.Sprintf("balancer/%d", size), func(b *testing.B) {
			in, sink := listenLoopback(b), listenLoopback(b)
			lb := newBench(b, in, sink)
			buf, out := make([]byte, 1500), make([]byte, 0, 1500)
			benchBursts(b, in, size, func() {
				n, from, to, err := in.Read(buf)
				if err != nil {
					b.Fatal(err)
				}
				lb.forward(flow.Tuple{Caller: from, Service: to}, buf[:n], out)
			})
			if lb.stats.Forwarded.Load() == 0 {
				b.Fatal("nothing was forwarded")
			}
		})
	}
}

// benchBursts times step for each of the datagrams of bursts sent to in.
func benchBursts(b *testing.B, in *udp.Conn, size int, step func()) {
	caller := listenLoopback(b)
	payload := make([]byte, size)
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		b.StopTimer()
		count := min(burst, b.N-sent)
		for range count {
			if err := caller.Write(payload, in.Addr()); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		for range count {
			step()
		}
		sent += count
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}
