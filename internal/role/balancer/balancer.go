// Package balancer implements the balancer role: it receives callers' datagrams
// and connections on the service addresses and forwards them to agents. It
// stores no per-flow state, so packet flows survive the loss of a balancer.
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
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
	"fulmarmount.org/fulmarmount/internal/guard"
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
	// Control lists the addresses of the control processes.
	Control []netip.AddrPort
	// Packets is the UDP address for envelopes to and from agents.
	Packets netip.AddrPort
	// Spray is the number of balancers on this host that share the service
	// addresses packet by packet; 0 if the network fabric does that.
	Spray int
	// Wildcard binds the unspecified address of each port instead of each
	// service address.
	Wildcard bool
	// MTU is the largest IP packet in bytes between balancers and agents.
	MTU int
	// ReadBuffer is the size of each socket's kernel receive buffer in bytes.
	ReadBuffer int
	// InheritedItems are the handover items of a predecessor on the same VM.
	InheritedItems handover.Bundle
	// TLS returns the TLS configuration of a connection to control or an agent.
	TLS func() *tls.Config
	// Keys seal the envelopes.
	Keys packet.KeyRing
	// Session is a random number that identifies this balancer's envelopes.
	Session uint64
	// IdleDrainTime is how long a stopping balancer keeps idle connections of request
	// mode open for a request that is on its way; 0 selects a second.
	IdleDrainTime time.Duration
	// Now returns the current time.
	Now func() time.Time
	Log *zap.Logger
}

// Balancer is a running balancer.
type Balancer struct {
	options      Options
	table        table
	forwarder    forwarder
	stats        Stats
	sealer       *packet.Sealer
	opener       *packet.Opener
	envelopes    *udp.Conn
	pool         *peer.Pool
	gateway      *gateway.Gateway
	requestConns *connQueue
	server       *http.Server
	cancel       context.CancelFunc
	tasks        sync.WaitGroup

	// readers tracks the goroutines that read datagrams or accept connections, and
	// acceptors only the latter.
	readers, acceptors sync.WaitGroup
	// requestCallers tracks the open caller connections of services in request mode.
	requestCallers connSet
	// openStreams tracks the open caller connections of services in stream mode.
	openStreams sync.WaitGroup
	// inheritedServices are the predecessor's services until control's first
	// update. After Start only the subscription's goroutine accesses them.
	inheritedServices []proto.Service

	mu        sync.Mutex
	listeners map[listenerKey]listener
	paused    bool
	stopping  atomic.Bool
}

// listenerKey identifies the listener of a service address.
type listenerKey struct {
	mode proto.Mode
	addr netip.AddrPort
}

// listener is a socket on a service address: a *udp.Conn or a *net.TCPListener.
type listener interface {
	handover.Socket
	deadlineSetter
}

// Start opens the envelope socket, starts the readers and subscribes to control
// until Close. It takes over the sockets of o.InheritedItems, also if it fails.
func Start(o Options) (*Balancer, error) {
	envelopes, err := openEnvelopes(o)
	if err != nil {
		o.InheritedItems.Close()
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
		listeners: make(map[listenerKey]listener),
	}
	b.startRequests()
	b.inheritItems(o.InheritedItems)
	b.startReaders()
	b.tasks.Go(func() { b.forwarder.expireViews(ctx) })
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

// openEnvelopes returns the predecessor's envelope socket, or opens a new one.
func openEnvelopes(o Options) (*udp.Conn, error) {
	for _, item := range o.InheritedItems {
		if conn, ok := item.Socket.(*net.UDPConn); ok && item.Kind == itemEnvelopes {
			return udp.NewConn(conn)
		}
	}
	return udp.Listen(udp.Options{Addr: o.Packets, ReadBuffer: o.ReadBuffer})
}

// waitUntilDone waits for a group, at most until ctx is done.
func waitUntilDone(ctx context.Context, group *sync.WaitGroup) {
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

// closeListeners closes the listeners of the given modes and marks the balancer
// as stopping, so that no listener is opened any more.
func (b *Balancer) closeListeners(modes ...proto.Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping.Store(true)
	for key, l := range b.listeners {
		if slices.Contains(modes, key.mode) {
			_ = l.Close()
			delete(b.listeners, key)
		}
	}
}

// Close closes every socket. Packet flows continue through other balancers.
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

// adopt activates an update and, if services have changed, opens and closes
// listeners to match.
func (b *Balancer) adopt(u proto.Update) {
	b.removeStaleInherited(&u)
	if b.activate(u) {
		b.reconcile(b.table.activeServices())
	}
}

// activate applies an update and reports whether services have changed. Most
// updates change only views; those skip the pass over all services and views.
func (b *Balancer) activate(u proto.Update) bool {
	b.table.adopt(u)
	if len(u.Services) == 0 && len(u.Removed) == 0 {
		b.forwarder.setViews(u.Views)
		b.setRequestViews(u.Views)
		return false
	}
	services := b.table.activeServices()
	b.forwarder.adopt(services, u.Views)
	b.setRequestServices(services)
	b.setRequestViews(b.table.activeViews())
	return true
}

// reconcile opens and closes listeners so that they match the services.
func (b *Balancer) reconcile(services []proto.Service) {
	want := make(map[listenerKey]bool)
	for _, s := range services {
		for _, addr := range s.Addresses {
			want[b.listenerKeyFor(s.Mode, addr)] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping.Load() || b.paused {
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
			b.options.Log.Error("Failed to listen on a service address.", zap.Stringer("address", key.addr), zap.Error(err))
			continue
		}
		b.listeners[key] = l
		b.startReader(key, l)
	}
}

// startReader starts the goroutine that reads from a listener, unless the
// balancer is paused. The caller holds b.mu.
func (b *Balancer) startReader(key listenerKey, l listener) {
	if b.paused {
		return
	}
	switch l := l.(type) {
	case *udp.Conn:
		b.readers.Go(func() { guard.Loop(b.options.Log, func() { b.readCallers(l) }) })
	case *net.TCPListener:
		accept := b.acceptStreams
		if key.mode == proto.ModeRequest {
			accept = b.acceptRequests
		}
		b.acceptors.Add(1)
		b.readers.Go(func() {
			defer b.acceptors.Done()
			guard.Loop(b.options.Log, func() { accept(l) })
		})
	default:
		b.options.Log.Error("Cannot read from a listener of unknown type; its address is not served.", zap.Stringer("address", key.addr))
	}
}

// listenerKeyFor returns the key of the listener that serves a service address.
func (b *Balancer) listenerKeyFor(mode proto.Mode, addr netip.AddrPort) listenerKey {
	if b.options.Wildcard {
		addr = netip.AddrPortFrom(netip.IPv4Unspecified(), addr.Port())
	}
	return listenerKey{mode: mode, addr: addr}
}

func (b *Balancer) listen(key listenerKey) (listener, error) {
	if key.mode == proto.ModePacket {
		return b.listenPacket(key.addr)
	}
	return b.listenTCP(key.addr)
}

// target is the backend server that a connection is placed on.
type target struct {
	service       view.ServiceID
	version       view.Version
	backendServer *view.BackendServer
}

// Stats returns the packet counters.
func (b *Balancer) Stats() *Stats { return &b.stats }

// BackendServerCount returns the number of backend servers in the service's
// active view.
func (b *Balancer) BackendServerCount(id view.ServiceID) int { return b.table.backendServerCount(id) }

// AvailableCount returns the number of backend servers that accept new flows.
func (b *Balancer) AvailableCount(id view.ServiceID) int { return b.table.availableCount(id) }
