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
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// maxDatagram is the room for one datagram with its envelope, in bytes.
const maxDatagram = 4096

// note is what an agent tells a balancer.
type note struct {
	Seed    uint64         `cbor:"1,keyasint"`
	Service view.ServiceID `cbor:"2,keyasint"`
	Load    routing.Load   `cbor:"3,keyasint"`
	// Held is set where the header's flow is at the agent's backend server.
	Held bool `cbor:"4,keyasint,omitempty"`
}

// envelopes is the socket between balancers and agents.
type envelopes struct {
	conn   *udp.Conn
	sealer *packet.Sealer
	opener *packet.Opener
	log    *zap.Logger
	counts *counters

	mu  sync.Mutex
	buf []byte
}

// openSockets opens the socket to the one side, callers or a backend server, and
// the one between balancers and agents.
func openSockets(o Common, side netip.AddrPort, counts *counters) (*udp.Conn, *envelopes, error) {
	outer, err := udp.Listen(udp.Options{Addr: side, ReadBuffer: readBuffer})
	if err != nil {
		return nil, nil, err
	}
	conn, err := udp.Listen(udp.Options{Addr: o.Packets, ReadBuffer: readBuffer})
	if err != nil {
		_ = outer.Close()
		return nil, nil, err
	}
	return outer, &envelopes{
		conn: conn, sealer: packet.NewSealer(o.Keys, o.Session), opener: packet.NewOpener(o.Keys, o.Now),
		log: o.Log, counts: counts,
	}, nil
}

// send seals and sends one envelope.
func (e *envelopes) send(to netip.AddrPort, h *packet.Header, payload []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sealed, err := e.sealer.Seal(e.buf[:0], h, payload)
	if err == nil {
		e.buf = sealed
		err = e.conn.Write(sealed, to)
	}
	if err != nil {
		e.counts.failed.Add(1)
		e.log.Warn("Could not send an envelope.", zap.Stringer("to", to), zap.Error(err))
	}
}

// read hands on each envelope that opens, until the socket is closed.
func (e *envelopes) read(handle func(h *packet.Header, payload []byte)) {
	var header packet.Header
	e.readFrom(e.conn, func(datagram []byte, from netip.AddrPort) {
		payload, err := e.opener.Open(datagram, &header)
		if err != nil {
			e.counts.refused.Add(1)
			e.log.Debug("Refused an envelope.", zap.Stringer("from", from), zap.Error(err))
			return
		}
		handle(&header, payload)
	})
}

// readFrom hands on each datagram of a socket until the socket is closed. The
// datagram is valid until handle returns.
func (e *envelopes) readFrom(conn *udp.Conn, handle func(datagram []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, _, err := conn.Read(buf)
		switch {
		case err == nil:
			handle(buf[:n], from)
		case e.ended(err):
			return
		}
	}
}

// readPause is the pause after a read that failed, in case the next one fails too.
const readPause = 10 * time.Millisecond

// ended reports whether a read failed because its socket was closed. Other failures
// are logged, and the socket is read on.
func (e *envelopes) ended(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	e.counts.failed.Add(1)
	e.log.Warn("Could not read from a socket.", zap.Error(err))
	time.Sleep(readPause)
	return false
}

// sendNote tells a balancer about a flow, or about the load alone.
func (e *envelopes) sendNote(to netip.AddrPort, tuple flow.Tuple, n note) {
	payload, err := cbor.Marshal(n)
	if err != nil {
		e.log.Error("Could not encode a note.", zap.Error(err))
		return
	}
	e.send(to, &packet.Header{
		Kind: packet.Note, ReplyTo: e.conn.Addr(), Flow: flow.Packet{Service: n.Service, Tuple: tuple},
	}, payload)
}

// noTuple fills the header of a note that is about no flow.
var noTuple = flow.Tuple{
	Caller:  netip.AddrPortFrom(netip.IPv4Unspecified(), 0),
	Service: netip.AddrPortFrom(netip.IPv4Unspecified(), 0),
}
