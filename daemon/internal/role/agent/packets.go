package agent

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/daemon/internal/packet"
)

// Stats counts what an agent did with packets.
type Stats struct {
	Delivered atomic.Uint64 // sent to the backend server
	Replied   atomic.Uint64 // sent to a balancer
	Refused   atomic.Uint64 // envelopes that were forged, replayed or not for here
	Failed    atomic.Uint64 // a socket did not take the packet
}

const (
	// readBuffer is the length of the envelope buffer in bytes: the largest datagram.
	readBuffer = 1 << 16
	// sweepInterval is how often idle flows are looked for.
	sweepInterval = time.Second
)

// readEnvelopes delivers the packets of balancers.
func (a *Agent) readEnvelopes() {
	buf := make([]byte, readBuffer)
	var header packet.Header
	for {
		n, _, _, err := a.envelopes.Read(buf)
		if err != nil {
			return
		}
		payload, err := a.opener.Open(buf[:n], &header)
		if err != nil || !a.accepts(&header) {
			a.stats.Refused.Add(1)
			continue
		}
		a.deliver(&header, payload)
	}
}

// accepts reports whether an envelope is meant for this run of this service.
func (a *Agent) accepts(h *packet.Header) bool {
	return h.Kind == packet.Forward &&
		h.Incarnation == a.options.Incarnation &&
		h.Service == view.ServiceID(a.service.Load())
}

// deliver sends one datagram to the backend server.
func (a *Agent) deliver(h *packet.Header, payload []byte) {
	tuple := flow.Tuple{Caller: h.Caller, Service: h.Address}
	o, opened, err := a.flows.get(tuple, func() (*ownedFlow, error) { return a.dial(tuple) })
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	now := a.options.Now()
	o.received(now, h.ReplyTo)
	a.paths.Heard(h.ReplyTo, now)
	if opened {
		service := h.Service
		a.tasks.Go(func() { a.readBackend(o, service) })
	}
	if _, err := o.conn.Write(payload); err != nil {
		a.stats.Failed.Add(1)
		return
	}
	a.stats.Delivered.Add(1)
}

func (a *Agent) dial(tuple flow.Tuple) (*ownedFlow, error) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.options.Backend))
	if err != nil {
		return nil, err
	}
	return &ownedFlow{tuple: tuple, conn: conn}, nil
}

// readBackend sends one flow's replies back until its socket is closed.
func (a *Agent) readBackend(o *ownedFlow, service view.ServiceID) {
	buf := make([]byte, a.options.MTU)
	out := make([]byte, 0, a.options.MTU+packet.MaxOverhead)
	for {
		n, err := o.conn.Read(buf)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// An ICMP error of an earlier send; the flow itself goes on.
			continue
		}
		if err != nil {
			return
		}
		a.reply(o, service, buf[:n], out)
	}
}

// reply sends one datagram through a balancer.
func (a *Agent) reply(o *ownedFlow, service view.ServiceID, payload, out []byte) {
	now := a.options.Now()
	o.seen.Store(now.UnixNano())
	last := o.lastInbound()
	replyTo := a.paths.Choose(last.replyTo, last.at, now)
	header := packet.Header{
		Kind:        packet.Reply,
		Service:     service,
		Incarnation: a.options.Incarnation,
		Caller:      o.tuple.Caller,
		Address:     o.tuple.Service,
		ReplyTo:     replyTo,
	}
	sealed, err := a.sealer.Seal(out, &header, payload)
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	if err := a.envelopes.Write(sealed, replyTo); err != nil {
		a.stats.Failed.Add(1)
		return
	}
	a.stats.Replied.Add(1)
}

// sweep ends idle flows until ctx ends.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := a.options.Now()
			a.flows.expire(now.Add(-a.options.IdleTimeout))
			a.paths.Expire(now)
		}
	}
}
