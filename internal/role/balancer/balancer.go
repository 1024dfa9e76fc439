// Package balancer runs the balancer role: it takes callers' datagrams and
// connections on the service addresses and forwards them to agents. It keeps
// no state that a flow depends on.
package balancer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// Options configure a Balancer.
type Options struct {
	// Name is the VM's name.
	Name string
	// Zone is the availability zone.
	Zone string
	// Control are the addresses of control processes.
	Control []netip.AddrPort
	// Packets is the UDP address for envelopes to and from agents.
	Packets netip.AddrPort
	// Spray is the number of balancers on this host that share the service
	// addresses packet by packet; 0 where the fabric does that.
	Spray int
	// Wildcard binds the unspecified address of each port in place of each
	// service address of its own.
	Wildcard bool
	// MTU is the largest IP packet in bytes between balancers and agents.
	MTU int
	// ReadBuffer is the kernel's receive buffer of each socket in bytes.
	ReadBuffer int
	// InheritedItems is what a predecessor on the same VM has handed over.
	InheritedItems handover.Bundle
	// TLS returns the settings of a connection to control or an agent.
	TLS func() *tls.Config
	// Keys seal the envelopes.
	Keys packet.Keys
	// Session is a random number for this run's envelopes.
	Session uint64
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// Balancer is one running balancer.
type Balancer struct {
	options   Options
	table     table
	forwarder forwarder
	stats     Stats
	sealer    *packet.Sealer
	opener    *packet.Opener
	envelopes *udp.Conn
	pool      *peer.Pool
	gateway   *gateway.Gateway
	callers   *connQueue
	server    *http.Server
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	// readers counts the goroutines that read datagrams or accept connections.
	readers sync.WaitGroup
	// streams counts the connections that are open.
	streams sync.WaitGroup
	// inherited are the services of a predecessor until control's first update;
	// only the subscription's goroutine uses it after the start.
	inherited []proto.Service

	mu        sync.Mutex
	listeners map[listenKey]listener
	stopping  bool
	paused    bool
}

// listenKey names a listener of a service address.
type listenKey struct {
	mode proto.Mode
	addr netip.AddrPort
}

// listener is a socket on a service address: a *udp.Conn or a *net.TCPListener.
type listener interface {
	handover.Socket
	deadliner
}

// Start opens the envelope socket and follows control until Close.
func Start(o Options) (*Balancer, error) {
	envelopes, err := openEnvelopes(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		options:   o,
		table:     newTable(),
		forwarder: newForwarder(o.Now),
		sealer:    packet.NewSealer(o.Keys, o.Session),
		opener:    packet.NewOpener(o.Keys, o.Now),
		envelopes: envelopes,
		pool:      peer.NewPool(o.TLS),
		cancel:    cancel,
		listeners: make(map[listenKey]listener),
	}
	b.startRequests()
	b.inherit(o.InheritedItems)
	b.run()
	b.tasks.Go(func() { b.forwarder.run(ctx) })
	b.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name:    o.Name,
			Control: subscribe.Fixed(o.Control...),
			Pool:    b.pool,
			Adopt:   b.adopt,
			Now:     o.Now,
			Log:     o.Log,
		})
	})
	return b, nil
}

// openEnvelopes returns the predecessor's envelope socket, or a new one.
func openEnvelopes(o Options) (*udp.Conn, error) {
	for _, item := range o.InheritedItems {
		if conn, ok := item.Socket.(*net.UDPConn); ok && item.Kind == itemEnvelopes {
			return udp.Inherit(conn)
		}
	}
	return udp.Listen(udp.Options{Addr: o.Packets, ReadBuffer: o.ReadBuffer})
}

// Stop takes no new connections, waits until those that are open have ended or
// ctx ends, and closes every socket.
func (b *Balancer) Stop(ctx context.Context) error {
	b.closeListeners(proto.ModeStream, proto.ModeRequest)
	_ = b.server.Shutdown(ctx) // what is left is cut off by Close
	wait(ctx, &b.streams)
	return b.Close()
}

// wait waits for a group until ctx ends.
func wait(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// closeListeners closes the listeners of some modes for good.
func (b *Balancer) closeListeners(modes ...proto.Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
	for key, l := range b.listeners {
		if slices.Contains(modes, key.mode) {
			_ = l.Close()
			delete(b.listeners, key)
		}
	}
}

// Close closes every socket. Flows go on through other balancers.
func (b *Balancer) Close() error {
	b.cancel()
	b.closeListeners(proto.ModeStream, proto.ModeRequest, proto.ModePacket)
	_ = b.server.Close()
	b.gateway.Close()
	err := b.envelopes.Close()
	b.pool.Close()
	b.readers.Wait()
	b.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// adopt puts an update in force and opens what it asks for.
func (b *Balancer) adopt(u proto.Update) {
	b.retire(&u)
	if b.putInForce(u) {
		b.reconcile(b.table.serving())
	}
}

// putInForce reports whether services have changed. Most updates change views
// alone, so only the others look at all services and views.
func (b *Balancer) putInForce(u proto.Update) bool {
	b.table.adopt(u)
	if len(u.Services) == 0 && len(u.Removed) == 0 {
		b.forwarder.setViews(u.Views)
		b.setRequestViews(u.Views)
		return false
	}
	services := b.table.serving()
	b.forwarder.adopt(services, u.Views)
	b.setRequestServices(services)
	b.setRequestViews(b.table.snapshot())
	return true
}

// reconcile opens and closes listeners so that they match the services.
func (b *Balancer) reconcile(services []proto.Service) {
	want := make(map[listenKey]bool)
	for _, s := range services {
		for _, addr := range s.Addresses {
			want[b.listenKey(s.Mode, addr)] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping || b.paused {
		return
	}
	for key, l := range b.listeners {
		if !want[key] {
			_ = l.Close()
			delete(b.listeners, key)
		}
	}
	for key := range want {
		if b.listeners[key] != nil {
			continue
		}
		l, err := b.listen(key)
		if err != nil {
			b.options.Log.Error("Cannot serve an address.", zap.Stringer("address", key.addr), zap.Error(err))
			continue
		}
		b.listeners[key] = l
		b.serve(key, l)
	}
}

// serve reads from a listener unless the balancer is paused. The caller holds
// the lock.
func (b *Balancer) serve(key listenKey, l listener) {
	if b.paused {
		return
	}
	switch l := l.(type) {
	case *udp.Conn:
		b.readers.Go(func() { b.readCallers(l) })
	case *net.TCPListener:
		accept := b.acceptStreams
		if key.mode == proto.ModeRequest {
			accept = b.acceptRequests
		}
		b.readers.Go(func() { accept(l) })
	default:
		b.options.Log.Error("Cannot serve an address.", zap.Stringer("address", key.addr))
	}
}

// listenKey names the listener that serves a service address.
func (b *Balancer) listenKey(mode proto.Mode, addr netip.AddrPort) listenKey {
	if b.options.Wildcard {
		addr = netip.AddrPortFrom(netip.IPv4Unspecified(), addr.Port())
	}
	return listenKey{mode: mode, addr: addr}
}

func (b *Balancer) listen(key listenKey) (listener, error) {
	if key.mode == proto.ModePacket {
		return b.listenPacket(key.addr)
	}
	return b.listenTCP(key.addr)
}

// target is the agent that a flow goes to.
type target struct {
	service view.ServiceID
	view    view.Version
	member  *view.BackendServer
}

// Stats returns the packet counters.
func (b *Balancer) Stats() *Stats { return &b.stats }

// BackendServerCount returns how many backend servers the view in force has.
func (b *Balancer) BackendServerCount(id view.ServiceID) int { return b.table.members(id) }

// AvailableCount returns how many backend servers take new flows.
func (b *Balancer) AvailableCount(id view.ServiceID) int { return b.table.available(id) }
