package replicalink

import (
	"context"
	"net/netip"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// Departure is the announcement of a replica that its process is about to stop. The
// process may start again, under another run.
type Departure struct {
	Member quorum.Member
	Addr   netip.AddrPort
	// Run identifies the run of the process that stops.
	Run uint64
}

// LeaveResponse is the response to a replica whose process is about to stop.
type LeaveResponse struct {
	// Settled is set if the process may stop: another replica has taken over its vote,
	// none can, or one that lags takes it over later.
	Settled bool `cbor:"1,keyasint"`
	// LeaderAddress is the address of the leader, if the replica that was asked does not
	// lead; empty if unknown.
	LeaderAddress string `cbor:"2,keyasint,omitempty"`
}

// HandleLeave serves a stream of kind KindLeave.
func (l *Link) HandleLeave(ctx context.Context, from keys.Info, s *peer.Stream) {
	hello, ok := l.receiveHello(from, s)
	if !ok {
		return
	}
	addr, err := netip.ParseAddrPort(hello.From.Address)
	if err != nil || !l.isLatestRun(addr, &hello) {
		_ = s.Send(LeaveResponse{Settled: true}) // on an error the peer's request fails
		return
	}
	_ = s.Send(l.options.Release(ctx, Departure{Member: hello.From, Addr: addr, Run: hello.Run})) // likewise
}

// Leave announces to the leader at addr that this process stops.
func (l *Link) Leave(ctx context.Context, addr netip.AddrPort) (LeaveResponse, error) {
	var response LeaveResponse
	return response, l.request(ctx, addr, KindLeave, openTimeout, &response)
}

// isLatestRun reports whether no later run than that of h is known of the process at
// addr. A Hello may arrive late.
func (l *Link) isLatestRun(addr netip.AddrPort, h *Hello) bool {
	startedAt := l.options.Now().Add(-h.Age)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.runs[addr]
	return known.id == 0 || known.id == h.Run || known.startedAt.Before(startedAt)
}

// HasRestarted reports whether the process of a departure has started again.
func (l *Link) HasRestarted(d Departure) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.runs[d.Addr].id
	return known != 0 && known != d.Run
}
