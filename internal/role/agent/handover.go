package agent

import (
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

var (
	errorNamespace = errorx.NewNamespace("agent")
	// errHandoverState is the type of errors in saving the state for a successor or
	// in restoring a predecessor's.
	errHandoverState = errorNamespace.NewType("succession")
)

// sequenceGap is added to the predecessor's last announcement number, so that a
// successor's announcements supersede those of its predecessor in flight.
const sequenceGap = 1 << 20

// restore restores a predecessor's state; nil is ignored. It runs before the
// first packet is received.
func (a *Agent) restore(s *handoverState) {
	if s == nil {
		return
	}
	a.sequenceBase = s.Sequence + sequenceGap
	s.View.Prepare()
	a.adopt(proto.Update{Services: s.Services, Views: []*view.View{s.View}})
	a.ownership.flows.Import(a.ownership.elapsed(), s.Entries)
	if err := a.opener.Import(s.Sessions); err != nil {
		a.options.Log.Error("Failed to import the predecessor's envelope sessions; envelopes that it received may be accepted again.", zap.Error(err))
	}
	failed := 0
	for _, socket := range s.Sockets {
		if err := a.restoreSocket(socket); err != nil {
			failed++
			a.options.Log.Warn("Failed to restore a flow of the predecessor; the flow is dropped.", zap.Stringer("caller", socket.Caller), zap.Error(err))
		}
	}
	a.options.Log.Info("Restored the predecessor's flows.",
		zap.Int("flows", len(s.Sockets)-failed), zap.Int("lost", failed), zap.Int("entries", len(s.Entries)))
}

func (a *Agent) restoreSocket(s flowSocketState) error {
	tuple := flow.Tuple{Caller: s.Caller, Service: s.Service}
	o, _, err := a.sockets.getOrOpen(tuple, func() (*ownedFlow, error) {
		local, backend := net.UDPAddrFromAddrPort(s.Local), net.UDPAddrFromAddrPort(a.options.Backend)
		conn, err := net.DialUDP("udp4", local, backend)
		if err != nil {
			return nil, err
		}
		return &ownedFlow{tuple: tuple, id: tuple.ID(), conn: conn}, nil
	})
	if err != nil {
		a.ownership.flows.RemoveFlow(tuple.ID())
		return errHandoverState.Wrap(err, "open a flow's socket at local address %s", s.Local)
	}
	o.recordCallerPacket(time.Unix(0, s.Seen), s.ReplyTo)
	a.ownership.pusher.AddFlow(o.id)
	service := view.ServiceID(a.serviceID.Load())
	a.tasks.Go(func() { guard.Loop(a.options.Log, func() { a.readBackend(o, service) }) })
	return nil
}

// canHandOver reports whether a successor can continue the same incarnation: the
// service is in packet mode and no request or tunnel is open, as their state
// stays in this process.
func (a *Agent) canHandOver() bool {
	return a.options.HandoverPath != "" && a.isPacketMode.Load() && !a.requests.Busy() && a.openTunnels.Load() == 0 && a.ownership.flows.View() != nil
}

// handOver stops the agent at once and saves its flows for a successor. Packets in
// flight are lost; callers retransmit them.
func (a *Agent) handOver() error {
	a.cancel()
	if err := a.envelopes.SetDeadline(udp.ExpiredDeadline); err != nil {
		return errorx.DecorateMany("stop agent", err, a.Close())
	}
	a.envelopeReader.Wait()
	now := a.options.Now()
	s := handoverState{
		At: now, ID: a.options.ID, Incarnation: a.options.Incarnation, Sequence: a.lastSequence.Load(),
		View: a.ownership.flows.View(), Entries: a.ownership.flows.Export(a.ownership.elapsed()),
		Sockets: a.sockets.socketStates(), Sessions: a.opener.Export(),
	}
	if config := a.serviceConfig.Load(); config != nil {
		s.Services = []proto.Service{*config}
	}
	data, err := s.encode()
	if err == nil {
		err = os.WriteFile(a.options.HandoverPath, data, stateFileMode)
	}
	if err != nil {
		_ = os.Remove(a.options.HandoverPath) // an incomplete state must not be restored
		err = errHandoverState.Wrap(err, "save %d flows for a successor", len(s.Sockets))
	} else {
		a.options.Log.Info("Saved the flows for a successor.", zap.Int("flows", len(s.Sockets)), zap.Int("entries", len(s.Entries)))
	}
	return errorx.DecorateMany("stop agent", err, a.Close())
}

// socketStates returns the states of all flows' sockets.
func (f *flowSockets) socketStates() []flowSocketState {
	var out []flowSocketState
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for tuple, o := range s.flows {
			local, ok := o.conn.LocalAddr().(*net.UDPAddr)
			if !ok {
				continue // cannot happen: this package opens only UDP sockets
			}
			out = append(out, flowSocketState{
				Caller: tuple.Caller, Service: tuple.Service, Local: local.AddrPort(),
				ReplyTo: o.lastCallerPacket().replyTo, Seen: o.lastPacket.Load(),
			})
		}
		s.mu.Unlock()
	}
	return out
}
