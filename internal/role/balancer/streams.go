package balancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/splice"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// tunnelOpenTimeout limits the opening of a tunnel to a backend server.
const tunnelOpenTimeout = 3 * time.Second

// listenTCP opens the listener for TCP connections on a service address. A
// connection ends with the process that has accepted it.
func (b *Balancer) listenTCP(addr netip.AddrPort) (*net.TCPListener, error) {
	config := &net.ListenConfig{}
	if b.options.Spray > 0 {
		config = udp.ReusePortConfig()
	}
	l, err := config.Listen(context.Background(), "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

func (b *Balancer) acceptStreams(l *net.TCPListener) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		b.openStreams.Go(func() { guard.Run(b.options.Log, func() { b.serveStream(conn) }) })
	}
}

// serveStream proxies a caller's connection to its backend server.
func (b *Balancer) serveStream(conn *net.TCPConn) {
	tuple := flow.Tuple{
		Caller:  conn.RemoteAddr().(*net.TCPAddr).AddrPort(),
		Service: conn.LocalAddr().(*net.TCPAddr).AddrPort(),
	}
	t, ok := b.table.selectBackendServer(tuple)
	if !ok {
		b.stats.Unplaced.Add(1)
		splice.Reset(conn)
		return
	}
	tunnel, err := b.openTunnel(t, tuple.Caller)
	if err != nil {
		b.options.Log.Warn("Failed to open a tunnel to a backend server; the caller's connection is reset.", zap.String("id", t.backendServer.ID), zap.Error(err))
		b.stats.Failed.Add(1)
		splice.Reset(conn)
		return
	}
	splice.CopyBidirectional(conn, tunnel)
}

func (b *Balancer) openTunnel(t target, caller netip.AddrPort) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelOpenTimeout)
	defer cancel()
	s, err := b.pool.Open(ctx, t.backendServer.Requests, proto.Tunnel)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	open := proto.TunnelOpen{Service: t.service, Incarnation: t.backendServer.Incarnation, Caller: caller}
	if err := s.Send(open); err != nil {
		return nil, err
	}
	var reply proto.TunnelReply
	if err := s.Recv(&reply); err != nil {
		return nil, err
	}
	if !reply.Connected {
		s.Abort()
		return nil, peer.DialFailed.New("agent of backend server %q rejected the tunnel: %s", t.backendServer.ID, reply.Reason)
	}
	return s, nil
}
