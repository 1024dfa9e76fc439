package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// ipUDP is the length of the IPv4 and UDP headers of a datagram in bytes.
const ipUDP = 28

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// tap relays the datagrams of one client to a server and counts their bytes,
// headers included.
type tap struct {
	front, back *net.UDPConn
	server      netip.AddrPort
	client      atomic.Pointer[netip.AddrPort]
	bytes       atomic.Int64
	tasks       sync.WaitGroup
}

func newTap(server netip.AddrPort) *tap {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	must(err)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server))
	must(err)
	t := &tap{front: front, back: back, server: server}
	t.tasks.Go(t.up)
	t.tasks.Go(t.down)
	return t
}

func (t *tap) addr() netip.AddrPort { return t.front.LocalAddr().(*net.UDPAddr).AddrPort() }

func (t *tap) up() {
	var b [1 << 16]byte
	for {
		n, from, err := t.front.ReadFromUDPAddrPort(b[:])
		if err != nil {
			return
		}
		t.client.Store(&from)
		t.bytes.Add(int64(n + ipUDP))
		_, _ = t.back.Write(b[:n])
	}
}

func (t *tap) down() {
	var b [1 << 16]byte
	for {
		n, err := t.back.Read(b[:])
		if err != nil {
			return
		}
		t.bytes.Add(int64(n + ipUDP))
		if to := t.client.Load(); to != nil {
			_, _ = t.front.WriteToUDPAddrPort(b[:n], *to)
		}
	}
}

func (t *tap) close() {
	_ = t.front.Close()
	_ = t.back.Close()
	t.tasks.Wait()
}

// fleetKeys are the keys of processes that share a measurement.
func fleetKeys(name string) *keys.Identity {
	set, err := keys.Ephemeral(time.Now())
	must(err)
	identity, err := set.Identity(name, time.Now())
	must(err)
	return identity
}

func poolOf(identity *keys.Identity) *peer.Pool {
	return peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
}

const (
	// settleTime is how long a new connection probes for the path's MTU.
	settleTime = 6 * time.Second
	// wireTime is how long subscriptions are watched.
	wireTime = 6 * time.Second
)

// measureWire counts what the changes of one subscription cost on the wire.
func measureWire() []Series {
	sizes := Series{ID: "wire_bytes", Title: "One subscription on the wire for 6 s", X: "view changes", Y: "bytes"}
	cpu := Series{ID: "wire_cpu", Title: "One subscription for 6 s, processor time of both ends", X: "view changes", Y: "µs"}
	for _, changes := range []int{1, 10, 30, 60} {
		b, c := watchSubscriptions(1, changes)
		sizes.Points = append(sizes.Points, Point{float64(changes), b})
		cpu.Points = append(cpu.Points, Point{float64(changes), c})
	}
	return []Series{sizes, cpu}
}

// measureIdle counts what subscriptions cost without any change: probes, their
// answers and keep-alives.
func measureIdle() []Series {
	sizes := Series{ID: "idle_bytes", Title: "Subscriptions without changes on the wire for 6 s", X: "subscriptions", Y: "bytes"}
	cpu := Series{ID: "idle_cpu", Title: "Subscriptions without changes for 6 s, processor time of both ends", X: "subscriptions", Y: "µs"}
	for _, count := range []int{5, 30, 150} {
		b, c := watchSubscriptions(count, 0)
		sizes.Points = append(sizes.Points, Point{float64(count), b})
		cpu.Points = append(cpu.Points, Point{float64(count), c})
	}
	return []Series{sizes, cpu}
}

// watchSubscriptions counts the bytes and the processor time, in microseconds,
// of some subscriptions through some changes.
func watchSubscriptions(count, changes int) (sizes, micros float64) {
	identity := fleetKeys("measure")
	publisher, err := subscribe.NewPublisher(subscribe.PublisherOptions{Epoch: 1, Now: time.Now})
	must(err)
	server, err := peer.Listen(peer.ServerOptions{
		Addr:     anyPort,
		TLS:      identity.ServerTLSFor([]keys.Role{keys.Balancer}, peer.Protocol),
		Handlers: map[string]peer.Handler{proto.Subscribe: publisher.Handle},
		Log:      zap.NewNop(),
	})
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { publisher.Run(ctx) })
	change(publisher, 0)
	var taps []*tap
	var pools []*peer.Pool
	for i := range count {
		t, pool := newTap(server.Addr()), poolOf(identity)
		taps, pools = append(taps, t), append(pools, pool)
		first := make(chan struct{})
		var once sync.Once
		tasks.Go(func() {
			subscribe.Run(ctx, subscribe.Options{
				Name: fmt.Sprint("balancer-", i), Control: subscribe.Fixed(t.addr()), Pool: pool,
				Adopt: func(proto.Update) { once.Do(func() { close(first) }) }, Now: time.Now, Log: zap.NewNop(),
			})
		})
		<-first
	}
	time.Sleep(settleTime)
	fromBytes, fromCPU := total(taps), cpuTime()
	for i := range changes {
		change(publisher, i)
		time.Sleep(wireTime / time.Duration(changes))
	}
	if changes == 0 {
		time.Sleep(wireTime)
	}
	sizes, micros = float64(total(taps)-fromBytes), float64(cpuTime()-fromCPU)/1e3
	cancel()
	for i := range pools {
		pools[i].Close()
	}
	must(server.Close())
	tasks.Wait()
	for _, t := range taps {
		t.close()
	}
	return sizes, micros
}

func total(taps []*tap) (n int64) {
	for _, t := range taps {
		n += t.bytes.Load()
	}
	return n
}

func change(p *subscribe.Publisher, i int) {
	must(p.Publish(func(at view.Version) (dissemination.Item, error) { return viewItem(i, at), nil }))
}

// measureRenewals counts what an agent's announcements cost.
func measureRenewals() []Series {
	sizes := Series{ID: "renew_bytes", Title: "Announcements and their answers on the wire", X: "announcements", Y: "bytes"}
	cpu := Series{ID: "renew_cpu", Title: "Announcements, processor time of both ends", X: "announcements", Y: "µs"}
	identity := fleetKeys("measure")
	for _, count := range []int{5, 50, 150} {
		b, c := watchRenewals(identity, count)
		sizes.Points = append(sizes.Points, Point{float64(count), b})
		cpu.Points = append(cpu.Points, Point{float64(count), c})
	}
	return []Series{sizes, cpu}
}

// renewalPause separates announcements so that their packets are not joined.
const renewalPause = 40 * time.Millisecond

func watchRenewals(identity *keys.Identity, count int) (sizes, micros float64) {
	c, err := control.Start(control.Options{
		Listen: anyPort,
		TLS:    identity.ServerTLSFor([]keys.Role{keys.Agent}, peer.Protocol),
		Epoch:  1, Now: time.Now, Log: zap.NewNop(),
	})
	must(err)
	c.SetServices([]proto.Service{service(0)})
	t := newTap(c.Addr())
	pool := poolOf(identity)
	s, err := pool.Open(context.Background(), t.addr(), proto.Announce)
	must(err)
	renew(s, 0)
	time.Sleep(settleTime)
	fromBytes, fromCPU := t.bytes.Load(), cpuTime()
	for i := range count {
		renew(s, i+1)
		time.Sleep(renewalPause)
	}
	sizes, micros = float64(t.bytes.Load()-fromBytes), float64(cpuTime()-fromCPU)/1e3
	pool.Close()
	must(c.Close())
	t.close()
	return sizes, micros
}

func renew(s *peer.Stream, sequence int) {
	m := serviceView(0, 1, view.Version{}).Members[0]
	must(s.Send(view.Announcement{
		Service: serviceName(0), ID: m.ID, Zone: m.Zone, Incarnation: m.Incarnation,
		Packets: m.Packets, Requests: m.Requests, Slots: m.Slots, Healthy: true,
		Sequence: uint64(sequence + 1), TTL: 3 * time.Second,
	}))
	var reply proto.AnnounceReply
	must(s.Recv(&reply))
}

// measureConnections weighs idle connections: both ends are in this process.
func measureConnections() []Series {
	s := Series{ID: "conn_heap", Title: "Idle connections between processes, both ends", X: "connections", Y: "bytes"}
	identity := fleetKeys("measure")
	for _, count := range []int{5, 30, 150} {
		server, err := peer.Listen(peer.ServerOptions{
			Addr: anyPort,
			TLS:  identity.ServerTLSFor([]keys.Role{keys.Agent}, peer.Protocol),
			Handlers: map[string]peer.Handler{proto.Announce: func(ctx context.Context, _ keys.Info, _ *peer.Stream) {
				<-ctx.Done()
			}},
			Log: zap.NewNop(),
		})
		must(err)
		var pools []*peer.Pool
		bytes := heapOf(func() any {
			for range count {
				pool := poolOf(identity)
				_, err := pool.Open(context.Background(), server.Addr(), proto.Announce)
				must(err)
				pools = append(pools, pool)
			}
			time.Sleep(time.Second) // Handshake state is released.
			return pools
		})
		s.Points = append(s.Points, Point{float64(count), bytes})
		for _, pool := range pools {
			pool.Close()
		}
		must(server.Close())
	}
	return []Series{s}
}
