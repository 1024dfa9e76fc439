package balancer

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/splice"
)

func (b *Balancer) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		Name:   b.options.Name,
		Zone:   b.options.Zone,
		Run:    uint64(b.options.Now().UnixNano()),
		Pool:   b.pool,
		Random: rand.Uint64,
		Now:    b.options.Now,
		Log:    b.options.Log.Named("gateway"),
	})
}

// setRequestServices tells the gateway of all services in request mode.
func (b *Balancer) setRequestServices(services []proto.Service) {
	var in []gateway.Service
	for _, s := range services {
		if s.Mode == proto.ModeRequest {
			in = append(in, gateway.Service{ID: s.ID, Name: s.Name, Policy: gateway.PolicyFor(s)})
		}
	}
	b.gateway.SetServices(in)
}

// setRequestViews tells the gateway of views; it passes over those of services
// that it does not serve, and those that are not newer.
func (b *Balancer) setRequestViews(views []*view.View) {
	for _, v := range views {
		b.gateway.SetView(v)
	}
}

// connQueue hands accepted connections to the HTTP server, so that the sockets
// on the service addresses stay the balancer's.
type connQueue struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// startRequests starts the gateway and its HTTP server.
func (b *Balancer) startRequests() {
	b.gateway = b.newGateway()
	b.callers = newConnQueue()
	b.server = b.gateway.Server(http.HandlerFunc(b.serveRequest))
	b.tasks.Go(func() { _ = b.server.Serve(b.callers) }) // ends with an error on Close
}

// acceptRequests takes connections on one service address.
func (b *Balancer) acceptRequests(l *net.TCPListener) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		select {
		case b.callers.conns <- conn:
		case <-b.callers.closed:
			splice.Reset(conn)
		}
	}
}

// serveRequest finds the service by the address that the caller connected to.
func (b *Balancer) serveRequest(w http.ResponseWriter, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	id, ok := b.table.service(local.AddrPort())
	if !ok {
		b.stats.Unplaced.Add(1)
		panic(http.ErrAbortHandler)
	}
	b.gateway.Handler(id).ServeHTTP(w, r)
}
