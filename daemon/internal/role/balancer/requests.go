package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"

	"fulmarmount.org/daemon/internal/gateway"
	"fulmarmount.org/daemon/internal/proto"
	"fulmarmount.org/daemon/internal/udp"
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

// adoptRequests tells the gateway of changed services and views.
func (b *Balancer) adoptRequests(services []proto.Service, changed bool) {
	if changed {
		var in []gateway.Service
		for _, s := range services {
			if s.Mode == proto.ModeRequest {
				in = append(in, gateway.Service{ID: s.ID, Name: s.Name, Policy: gateway.PolicyFor(s)})
			}
		}
		b.gateway.SetServices(in)
	}
	for _, v := range b.table.snapshot() {
		b.gateway.SetView(v)
	}
}

// requestListener serves HTTP callers on a service address.
type requestListener struct {
	b      *Balancer
	server *http.Server
}

func (b *Balancer) listenRequests(addr netip.AddrPort) (listener, error) {
	config := &net.ListenConfig{}
	if b.options.Spray > 0 {
		config = udp.ReusePort()
	}
	l, err := config.Listen(context.Background(), "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	r := &requestListener{b: b, server: b.gateway.Server(http.HandlerFunc(b.serveRequest))}
	b.tasks.Go(func() { _ = r.server.Serve(l) }) // ends with an error on Close
	return r, nil
}

// Close takes no new connections and lets requests in flight end, until the
// balancer closes.
func (r *requestListener) Close() error {
	r.b.streams.Go(func() {
		if r.server.Shutdown(r.b.ctx) != nil {
			_ = r.server.Close()
		}
	})
	return nil
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
