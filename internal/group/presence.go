package group

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/pace"
)

const (
	// silentHeartbeats is the number of heartbeats that a follower misses before it asks
	// whether the leader's process still runs.
	silentHeartbeats = 3
	// presenceTimeout is how long the VM may take to say that no process has the socket.
	presenceTimeout = 50 * time.Millisecond
)

// watchLeader looks for the end of the leader's process while this replica follows.
//
// Silence alone does not tell a killed leader from a paused or slow one, so the election
// timeout must outlast pauses. The VM of a killed process answers at once that nobody has
// its socket; a paused process still has it, and a VM that is paused, cut off or without
// power answers nothing. Only the first is taken for the end of the leader.
func (g *Group) watchLeader(ctx context.Context) {
	interval := g.options.TickInterval
	pace.Every(ctx, interval, func() {
		n := g.currentNode()
		if n == nil {
			return
		}
		soft, _ := n.Leader()
		l, _ := g.Leadership()
		if soft.Role != quorum.Follower || soft.Leader == 0 || !l.LeaderAddr.IsValid() {
			return
		}
		if g.options.Now().Sub(g.link.LastReceived(l.LeaderAddr)) < silentHeartbeats*interval || !isAbsent(l.LeaderAddr) {
			return
		}
		g.options.Log.Info("The leader's process has ended.", zap.Stringer("leader", soft.Leader), zap.Uint64("term", soft.Term))
		_ = n.LeaderGone(ctx, soft.Leader, soft.Term) // fails only if the replica stops
	})
}

// isAbsent reports whether the VM says that no process receives datagrams at addr. It
// sends one byte, which no peer connection begins with.
func isAbsent(addr netip.AddrPort) bool {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(presenceTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write([]byte{0}); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
