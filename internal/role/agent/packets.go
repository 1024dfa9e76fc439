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
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// Stats are the packet counters of an agent.
type Stats struct {
	Delivered           atomic.Uint64 // sent to the backend server
	Replied             atomic.Uint64 // sent to a balancer
	Rejected            atomic.Uint64 // envelopes that were forged, replayed or not addressed to this agent, and tunnels for another incarnation or service
	Failed              atomic.Uint64 // sealing a packet, opening a socket or sending failed
	Oversize            atomic.Uint64 // replies longer than an envelope of the MTU can carry
	Relayed             atomic.Uint64 // relayed to another agent
	UnresponsiveControl atomic.Uint64 // connections to control that became unresponsive and were replaced

	ControlSent  atomic.Uint64 // messages about flow ownership to other agents
	ControlBytes atomic.Uint64 // bytes of these messages, envelopes included
}

const (
	// readBuffer is the length of the envelope buffer in bytes: the largest datagram.
	readBuffer = 1 << 16
	// expiryInterval is the interval at which idle flows are expired.
	expiryInterval = time.Second
)

// readEnvelopes receives the envelopes of balancers and other agents.
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
		case packet.Ownership:
			a.handleOwnershipMessage(&header, payload)
		default:
			a.stats.Rejected.Add(1)
		}
	}
}

// isAddressedHere reports whether an envelope is addressed to this incarnation of
// the agent and to its service.
func (a *Agent) isAddressedHere(h *packet.Header) bool {
	return h.Flow.TargetIncarnation == a.options.Incarnation && h.Flow.Service == view.ServiceID(a.serviceID.Load())
}

// receive delivers a caller's datagram or relays it to the agent that may own
// its flow.
func (a *Agent) receive(h *packet.Header, payload, out []byte) {
	switch action := a.ownership.receive(&h.Flow); action.Verdict {
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

// deliver sends a datagram to the backend server.
func (a *Agent) deliver(h *packet.Header, payload []byte) {
	tuple := h.Flow.Tuple
	o, opened, err := a.sockets.getOrOpen(tuple, func() (*ownedFlow, error) { return a.openSocket(tuple) })
	if err != nil {
		a.stats.Failed.Add(1)
		return
	}
	now := a.options.Now()
	o.recordCallerPacket(now, h.ReplyTo)
	a.returnPaths.MarkSeen(h.ReplyTo, now)
	if opened {
		service := h.Flow.Service
		a.tasks.Go(func() { guard.Loop(a.options.Log, func() { a.readBackend(o, service) }) })
	}
	if _, err := o.conn.Write(payload); err != nil {
		a.stats.Failed.Add(1)
		return
	}
	a.stats.Delivered.Add(1)
}

func (a *Agent) openSocket(tuple flow.Tuple) (*ownedFlow, error) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.options.Backend))
	if err != nil {
		return nil, err
	}
	return &ownedFlow{tuple: tuple, id: tuple.ID(), conn: conn}, nil
}

// readBackend forwards the backend server's replies of a flow until the flow's
// socket is closed.
func (a *Agent) readBackend(o *ownedFlow, service view.ServiceID) {
	buf := make([]byte, a.options.MTU)
	out := make([]byte, 0, a.options.MTU+packet.MaxOverhead)
	for {
		n, err := o.conn.Read(buf)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// An ICMP error caused by an earlier send; the flow continues.
			continue
		}
		if err != nil {
			return
		}
		a.reply(o, service, buf[:n], out)
	}
}

// reply sends a datagram of the backend server to the caller through a balancer.
func (a *Agent) reply(o *ownedFlow, service view.ServiceID, payload, out []byte) {
	now := a.options.Now()
	o.lastPacket.Store(now.UnixNano())
	a.ownership.flows.Touch(a.ownership.elapsed(), o.id)
	last := o.lastCallerPacket()
	replyTo := a.returnPaths.Choose(last.replyTo, last.at, now)
	header := packet.Header{
		Kind:    packet.Reply,
		ReplyTo: replyTo,
		Flow:    flow.Packet{Service: service, TargetIncarnation: a.options.Incarnation, Tuple: o.tuple},
	}
	if len(payload) > header.MaxPayload(a.options.MTU) {
		// Dropping the datagram makes the backend server's path MTU discovery
		// converge below the limit.
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

// expireFlows closes idle flows, and the remaining flows at a drain's limit,
// until ctx is done.
func (a *Agent) expireFlows(ctx context.Context) {
	pace.Every(ctx, expiryInterval, func() {
		now := a.options.Now()
		a.sockets.closeIdle(a.limits.idleCutoff(now), a.ownership.flows.RemoveFlow)
		a.returnPaths.Expire(now)
	})
}
