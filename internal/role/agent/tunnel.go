package agent

import (
	"context"
	"net"
	"time"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/splice"
)

// connectTimeout limits the time to connect to the backend server.
const connectTimeout = 2 * time.Second

// handleTunnel proxies a caller's connection to the backend server.
func (a *Agent) handleTunnel(ctx context.Context, _ keys.Info, s *peer.Stream) {
	a.openTunnels.Add(1)
	defer a.openTunnels.Add(-1)
	var open proto.TunnelOpen
	if err := s.Recv(&open); err != nil {
		s.Abort()
		return
	}
	conn, reason := a.dialBackend(ctx, open)
	if err := s.Send(proto.TunnelReply{Connected: conn != nil, Reason: reason}); err != nil || conn == nil {
		if conn != nil {
			splice.Reset(conn)
		}
		return
	}
	splice.CopyBidirectional(conn, s)
}

// dialBackend connects to the backend server, or returns the reason why it cannot.
func (a *Agent) dialBackend(ctx context.Context, open proto.TunnelOpen) (*net.TCPConn, string) {
	if open.Incarnation != a.options.Incarnation || open.Service != view.ServiceID(a.serviceID.Load()) {
		a.stats.Rejected.Add(1)
		return nil, "the tunnel is meant for another run or service"
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", a.options.Backend.String())
	if err != nil {
		return nil, err.Error()
	}
	return conn.(*net.TCPConn), ""
}
