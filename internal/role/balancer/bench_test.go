package balancer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// burstSize is the number of datagrams queued in the socket at once.
const burstSize = 64

type benchKeys struct{ secret [keys.SecretSize]byte }

func (k *benchKeys) Active() (uint8, []byte)     { return 1, k.secret[:] }
func (k *benchKeys) Secret(uint8) ([]byte, bool) { return k.secret[:], true }
func listenLoopback(b testing.TB) *udp.Conn {
	b.Helper()
	conn, err := udp.Listen(udp.Options{Addr: netip.MustParseAddrPort("127.0.0.1:0"), ReadBuffer: 4 << 20})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// newBenchBalancer returns a balancer with one service of 7 backend servers,
// which all share the sink's address.
func newBenchBalancer(b testing.TB, service, sink *udp.Conn) *Balancer {
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
		listeners: make(map[listenerKey]listener),
	}
	update := proto.Update{
		Services: []proto.Service{{ID: 1, Name: "bench", Mode: proto.ModePacket, Addresses: []netip.AddrPort{service.Addr()}}},
		Views:    []*view.View{view.New(1, view.Version{Epoch: 1, Number: 1}, members)},
	}
	lb.table.adopt(update)
	lb.forwarder.adopt(lb.table.activeServices(), update.Views)
	return lb
}

// BenchmarkForward measures a datagram read from a caller and sent to an agent;
// the baseline is a relay that only reads and sends.
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
			lb := newBenchBalancer(b, in, sink)
			buf, out := make([]byte, 1500), make([]byte, 0, 1500)
			benchBursts(b, in, size, func() {
				n, from, to, err := in.Read(buf)
				if err != nil {
					b.Fatal(err)
				}
				lb.forward(flow.Tuple{Caller: from, Service: to}, buf[:n], out)
			})
			if lb.stats.Forwarded.Load() == 0 {
				b.Fatal("balancer forwarded no datagram")
			}
		})
	}
}

// benchBursts sends bursts of datagrams to in and times one step per datagram.
func benchBursts(b *testing.B, in *udp.Conn, size int, step func()) {
	caller := listenLoopback(b)
	payload := make([]byte, size)
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		b.StopTimer()
		count := min(burstSize, b.N-sent)
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

// newViewChange starts from a balancer with a number of services of 7 backend
// servers each, and returns a function that changes the view of one service.
func newViewChange(b testing.TB, services int) (change func()) {
	b.Helper()
	lb := newBenchBalancer(b, listenLoopback(b), listenLoopback(b))
	lb.options.Now = time.Now
	lb.gateway = lb.newGateway()
	b.Cleanup(lb.gateway.Close)
	lb.paused = true // so that adopt opens no listeners
	members := make([]view.BackendServer, 7)
	for i := range members {
		members[i] = view.BackendServer{ID: fmt.Sprintf("host-%d", i), State: view.Ready, Weight: view.FullWeight}
	}
	var all proto.Update
	for i := range services {
		id := view.ServiceID(i + 2)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 80)
		all.Services = append(all.Services, proto.Service{
			ID: id, Name: fmt.Sprintf("service-%d", i), Mode: proto.ModePacket, Addresses: []netip.AddrPort{addr},
		})
		all.Views = append(all.Views, view.New(id, view.Version{Epoch: 1, Number: 1}, slices.Clone(members)))
	}
	lb.adopt(all)
	number := uint64(1)
	return func() {
		number++
		v := view.New(2, view.Version{Epoch: 1, Number: number}, slices.Clone(members))
		lb.adopt(proto.Update{Views: []*view.View{v}})
	}
}

// TestViewChangeCostIsIndependentOfFleetSize guards against a view change that
// iterates over all services: it must allocate the same for 2 and 2000 services.
func TestViewChangeCostIsIndependentOfFleetSize(t *testing.T) {
	is := is.New(t)
	const changes = 100
	is.Equal(testing.AllocsPerRun(changes, newViewChange(t, 2000)), testing.AllocsPerRun(changes, newViewChange(t, 2)))
}

// BenchmarkAdopt measures the adoption of one changed view by a balancer with
// 19,000 services.
func BenchmarkAdopt(b *testing.B) {
	change := newViewChange(b, 19_000)
	b.ReportAllocs()
	for b.Loop() {
		change()
	}
}
