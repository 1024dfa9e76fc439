package segment

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// maxDatagramSize is the size of a read buffer in bytes: one datagram and its
// envelope.
const maxDatagramSize = 4096

// notification is an agent's message to a balancer.
type notification struct {
	Seed    uint64         `cbor:"1,keyasint"`
	Service view.ServiceID `cbor:"2,keyasint"`
	Load    routing.Load   `cbor:"3,keyasint"`
	// OwnsFlow is set if the agent's backend server owns the flow of the envelope's
	// header.
	OwnsFlow bool `cbor:"4,keyasint,omitempty"`
	// NeedsPacket is set if only the backend server can tell whether it owns the flow: the
	// answer to a query that asks for the packets.
	NeedsPacket bool `cbor:"9,keyasint,omitempty"`
}

// envelopeSocket is the socket between balancers and agents.
type envelopeSocket struct {
	conn     *udp.Conn
	sealer   *packet.Sealer
	opener   *packet.Opener
	log      *zap.Logger
	counters *counters

	mu  sync.Mutex
	buf []byte
}

// openSockets opens the socket to callers or to a backend server at outerAddr, and
// the socket between balancers and agents.
func openSockets(o CommonOptions, outerAddr netip.AddrPort, counts *counters) (*udp.Conn, *envelopeSocket, error) {
	outer, err := udp.Listen(udp.Options{Addr: outerAddr, ReadBuffer: receiveBufferSize})
	if err != nil {
		return nil, nil, err
	}
	conn, err := udp.Listen(udp.Options{Addr: o.EnvelopeAddr, ReadBuffer: receiveBufferSize})
	if err != nil {
		_ = outer.Close()
		return nil, nil, err
	}
	return outer, &envelopeSocket{
		conn: conn, sealer: packet.NewSealer(o.KeyRing, o.SessionID), opener: packet.NewOpener(o.KeyRing, o.Now),
		log: o.Log, counters: counts,
	}, nil
}

// send seals and sends one envelope.
func (e *envelopeSocket) send(to netip.AddrPort, h *packet.Header, payload []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sealed, err := e.sealer.Seal(e.buf[:0], h, payload)
	if err == nil {
		e.buf = sealed
		err = e.conn.Write(sealed, to)
	}
	if err != nil {
		e.counters.socketErrors.Add(1)
		e.log.Warn("Could not send an envelope.", zap.Stringer("to", to), zap.Error(err))
	}
}

// readEnvelopes passes each authenticated envelope to handle until the socket is
// closed.
func (e *envelopeSocket) readEnvelopes(handle func(h *packet.Header, payload []byte)) {
	var header packet.Header
	e.readDatagrams(e.conn, func(datagram []byte, from netip.AddrPort) {
		payload, err := e.opener.Open(datagram, &header)
		if err != nil {
			e.counters.rejectedEnvelopes.Add(1)
			e.log.Debug("Rejected an envelope.", zap.Stringer("from", from), zap.Error(err))
			return
		}
		handle(&header, payload)
	})
}

// readDatagrams passes each datagram of a socket to handle until it is closed. The
// datagram is valid until handle returns.
func (e *envelopeSocket) readDatagrams(conn *udp.Conn, handle func(datagram []byte, from netip.AddrPort)) {
	guard.Loop(e.log, func() { e.readUntilClosed(conn, handle) })
}

func (e *envelopeSocket) readUntilClosed(conn *udp.Conn, handle func(datagram []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, _, err := conn.Read(buf)
		switch {
		case err == nil:
			handle(buf[:n], from)
		case e.handleReadError(err):
			return
		}
	}
}

// readRetryDelay is the delay after a failed read, in case the next one fails too.
const readRetryDelay = 10 * time.Millisecond

// handleReadError reports whether a read failed because its socket was closed. It
// logs other errors and waits for readRetryDelay.
func (e *envelopeSocket) handleReadError(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	e.counters.socketErrors.Add(1)
	e.log.Warn("Could not read from a socket.", zap.Error(err))
	time.Sleep(readRetryDelay)
	return false
}

// sendNotification sends a balancer a notification about a flow, or about the load
// only.
func (e *envelopeSocket) sendNotification(to netip.AddrPort, tuple flow.Tuple, n notification) {
	payload, err := cbor.Marshal(n)
	if err != nil {
		e.log.Error("Could not encode a notification.", zap.Error(err))
		return
	}
	e.send(to, &packet.Header{
		Kind: packet.Notification, ReplyTo: e.conn.Addr(), Flow: flow.Packet{Service: n.Service, Tuple: tuple},
	}, payload)
}

// zeroTuple is the tuple in the header of a notification about the load only.
var zeroTuple = flow.Tuple{
	Caller:  netip.AddrPortFrom(netip.IPv4Unspecified(), 0),
	Service: netip.AddrPortFrom(netip.IPv4Unspecified(), 0),
}
