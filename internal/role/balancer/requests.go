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

// setRequestServices passes all services in request mode to the gateway.
func (b *Balancer) setRequestServices(services []proto.Service) {
	var requestServices []gateway.Service
	for _, s := range services {
		if s.Mode == proto.ModeRequest {
			requestServices = append(requestServices, gateway.Service{ID: s.ID, Name: s.Name, Policy: gateway.PolicyFor(s)})
		}
	}
	b.gateway.SetServices(requestServices)
}

// setRequestViews passes views to the gateway, which ignores those of services
// that it does not serve and those that are not newer.
func (b *Balancer) setRequestViews(views []*view.View) {
	for _, v := range views {
		b.gateway.SetView(v)
	}
}

// connQueue is the HTTP server's net.Listener. It passes on the connections that
// the balancer accepts, so that the balancer keeps ownership of the sockets on
// the service addresses.
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
	b.requestConns = newConnQueue()
	b.server = b.gateway.Server(http.HandlerFunc(b.serveRequest))
	b.server.ConnState = b.requestCallers.update
	b.tasks.Go(func() { _ = b.server.Serve(b.requestConns) }) // returns an error on Close
}

// acceptRequests accepts connections on a service address and passes them to the
// HTTP server.
func (b *Balancer) acceptRequests(l *net.TCPListener) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		select {
		case b.requestConns.conns <- conn:
		case <-b.requestConns.closed:
			splice.Reset(conn)
		}
	}
}

// serveRequest serves a request by the service whose address the caller
// connected to.
func (b *Balancer) serveRequest(w http.ResponseWriter, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	id, ok := b.table.serviceAt(local.AddrPort())
	if !ok {
		b.stats.Unplaced.Add(1)
		panic(http.ErrAbortHandler)
	}
	if b.stopping.Load() {
		w.Header().Set("Connection", "close") // the caller's next request needs another balancer
	}
	b.gateway.Handler(id).ServeHTTP(w, r)
}
