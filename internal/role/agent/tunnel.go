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

// connectLimit bounds the connecting to the backend server.
const connectLimit = 2 * time.Second

// tunnel carries one caller connection to the backend server.
func (a *Agent) tunnel(ctx context.Context, _ keys.Info, s *peer.Stream) {
	a.tunnels.Add(1)
	defer a.tunnels.Add(-1)
	var open proto.TunnelOpen
	if err := s.Recv(&open); err != nil {
		s.Abort()
		return
	}
	conn, reason := a.connect(ctx, open)
	if err := s.Send(proto.TunnelReply{Connected: conn != nil, Reason: reason}); err != nil || conn == nil {
		if conn != nil {
			splice.Reset(conn)
		}
		return
	}
	splice.Both(conn, s)
}

// connect dials the backend server, or tells why not.
func (a *Agent) connect(ctx context.Context, open proto.TunnelOpen) (*net.TCPConn, string) {
	if open.Incarnation != a.options.Incarnation || open.Service != view.ServiceID(a.service.Load()) {
		a.stats.Rejected.Add(1)
		return nil, "the tunnel is meant for another run or service"
	}
	dialer := net.Dialer{Timeout: connectLimit}
	conn, err := dialer.DialContext(ctx, "tcp4", a.options.Backend.String())
	if err != nil {
		return nil, err.Error()
	}
	return conn.(*net.TCPConn), ""
}
