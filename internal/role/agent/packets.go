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
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// Stats counts what an agent did with packets.
type Stats struct {
	Delivered           atomic.Uint64 // sent to the backend server
	Replied             atomic.Uint64 // sent to a balancer
	Rejected            atomic.Uint64 // envelopes that were forged, replayed or not for here
	Failed              atomic.Uint64 // a socket did not take the packet
	Oversize            atomic.Uint64 // a reply would not fit the MTU in an envelope
	Relayed             atomic.Uint64 // sent on to another agent
	UnresponsiveControl atomic.Uint64 // connections to control that went silent and were replaced

	ControlSent  atomic.Uint64 // messages about flow ownership to other agents
	ControlBytes atomic.Uint64 // bytes of them, envelopes included
}

const (
	// readBuffer is the length of the envelope buffer in bytes: the largest datagram.
	readBuffer = 1 << 16
	// sweepInterval is how often idle flows are looked for.
	sweepInterval = time.Second
)

// readEnvelopes takes the envelopes of balancers and other agents.
func (a *Agent) readEnvelopes() {
	buf := make([]byte, readBuffer)
	out := make([]byte, 0, readBuffer)
	var header packet.Header
	for {
		n, _, _, err := a.envelopes.Read(buf)
		if err != nil {
			return
		}
		payload, err := a.opener.Open(buf[:n], &header)
		if err != nil {
			a.stats.Rejected.Add(1)
			continue
		}
		switch header.Kind {
		case packet.Forward:
			a.receive(&header, payload, out)
		case packet.Control:
			a.receiveOwnership(&header, payload)
		default:
			a.stats.Rejected.Add(1)
		}
	}
}

// accepts reports whether an envelope is meant for this run of this service.
func (a *Agent) accepts(h *packet.Header) bool {
	return h.Flow.TargetIncarnation == a.options.Incarnation && h.Flow.Service == view.ServiceID(a.service.Load())
}

// receive delivers a caller's datagram or relays it to the agent that may own
// its flow.
func (a *Agent) receive(h *packet.Header, payload, out []byte) {
	switch action := a.owner.receive(&h.Flow); action.Verdict {
	case flow.Deliver:
		a.deliver(h, payload)
	case flow.Relay:
		a.relay(action.To, h, payload, out)
	default:
		a.stats.Rejected.Add(1)
	}
}

func (a *Agent) relay(to flow.Peer, h *packet.Header, payload, out []byte) {
	sealed, err := a.sealer.Seal(out, h, payload)
	if err == nil {
		err = a.envelopes.Write(sealed, to.Addr)
	}
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	a.stats.Relayed.Add(1)
}

// deliver sends one datagram to the backend server.
func (a *Agent) deliver(h *packet.Header, payload []byte) {
	tuple := h.Flow.Tuple
	o, opened, err := a.flows.get(tuple, func() (*ownedFlow, error) { return a.dial(tuple) })
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	now := a.options.Now()
	o.received(now, h.ReplyTo)
	a.paths.MarkSeen(h.ReplyTo, now)
	if opened {
		service := h.Flow.Service
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
	return &ownedFlow{tuple: tuple, id: tuple.ID(), conn: conn}, nil
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
	a.owner.flows.Touch(a.owner.elapsed(), o.id)
	last := o.lastInbound()
	replyTo := a.paths.Choose(last.replyTo, last.at, now)
	header := packet.Header{
		Kind:    packet.Reply,
		ReplyTo: replyTo,
		Flow:    flow.Packet{Service: service, TargetIncarnation: a.options.Incarnation, Tuple: o.tuple},
	}
	if len(payload) > header.MaxPayload(a.options.MTU) {
		// The backend server's path MTU discovery settles below the limit.
		a.stats.Oversize.Add(1)
		return
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

// sweep ends idle flows, and those that a drain left too long, until ctx ends.
func (a *Agent) sweep(ctx context.Context) {
	pace.Every(ctx, sweepInterval, func() {
		now := a.options.Now()
		a.flows.expire(a.limits.expired(now), a.owner.flows.RemoveFlow)
		a.paths.Expire(now)
	})
}
