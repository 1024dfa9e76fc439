package agent

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

var (
	errorsOfAgent = errorx.NewNamespace("agent")
	// errSuccession is the type for state that cannot be left to a successor or
	// taken over from a predecessor.
	errSuccession = errorsOfAgent.NewType("succession")
)

const (
	// successionTime is how old a predecessor's state may be. Other agents pass
	// over one that has been silent for longer, and may take its flows.
	successionTime = time.Second
	// sequenceGap keeps a successor's announcements beyond those that its
	// predecessor had on the way.
	sequenceGap = 1 << 20
	// successionMode is the mode of the state file: its user alone reads it.
	successionMode = 0o600
)

// succession is what an agent leaves to the next process on its VM, which goes on
// as the same run: its flows, the promises about others, and what is in force.
type succession struct {
	At          time.Time        `cbor:"1,keyasint"`
	ID          string           `cbor:"2,keyasint"`
	Incarnation view.Incarnation `cbor:"3,keyasint"`
	Sequence    uint64           `cbor:"4,keyasint"`
	Services    []proto.Service  `cbor:"5,keyasint"`
	View        *view.View       `cbor:"6,keyasint"`
	Entries     []flow.Record    `cbor:"7,keyasint"`
	Sockets     []savedSocket    `cbor:"8,keyasint"`
	Sessions    []packet.Session `cbor:"9,keyasint"`
}

// savedSocket is the socket of one owned flow. The successor binds the same local
// address, so the backend server sees no change.
type savedSocket struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	Local   netip.AddrPort `cbor:"3,keyasint"`
	ReplyTo netip.AddrPort `cbor:"4,keyasint"`
	Seen    int64          `cbor:"5,keyasint"` // Unix time in nanoseconds
}

// takeSuccession reads and removes the state that a predecessor has left at path.
// It returns nil where there is none that can be used.
func takeSuccession(o Options) *succession {
	if o.HandoverPath == "" {
		return nil
	}
	data, err := os.ReadFile(o.HandoverPath)
	if os.IsNotExist(err) {
		return nil
	}
	if removed := os.Remove(o.HandoverPath); err == nil {
		err = removed // state that stays could be taken over twice
	}
	s := &succession{}
	if err == nil {
		err = cbor.Unmarshal(data, s)
	}
	if err == nil {
		err = s.check(o)
	}
	if err != nil {
		o.Log.Warn("Does not take over from the predecessor.", zap.Error(err))
		return nil
	}
	return s
}

func (s *succession) check(o Options) error {
	age := o.Now().Sub(s.At)
	switch {
	case s.ID != o.ID:
		return errSuccession.New("state is of backend server %q, not %q", s.ID, o.ID)
	case age < 0 || age > successionTime:
		return errSuccession.New("state is %s old; it may be %s", age, successionTime)
	case s.View == nil:
		return errSuccession.New("state has no view")
	}
	return nil
}

// inherit goes on with what a predecessor has left. It runs before the first
// packet.
func (a *Agent) inherit(s *succession) {
	if s == nil {
		return
	}
	a.sequence = s.Sequence + sequenceGap
	s.View.Prepare()
	a.adopt(proto.Update{Services: s.Services, Views: []*view.View{s.View}})
	a.owner.flows.Import(a.owner.elapsed(), s.Entries)
	if err := a.opener.Import(s.Sessions); err != nil {
		a.options.Log.Error("Cannot take over the envelope sessions.", zap.Error(err))
	}
	lost := 0
	for _, socket := range s.Sockets {
		if err := a.inheritSocket(socket); err != nil {
			lost++
			a.options.Log.Warn("Cannot take over a flow.", zap.Stringer("caller", socket.Caller), zap.Error(err))
		}
	}
	a.options.Log.Info("Took over from the predecessor.",
		zap.Int("flows", len(s.Sockets)-lost), zap.Int("lost", lost), zap.Int("entries", len(s.Entries)))
}

func (a *Agent) inheritSocket(s savedSocket) error {
	tuple := flow.Tuple{Caller: s.Caller, Service: s.Service}
	o, _, err := a.flows.get(tuple, func() (*ownedFlow, error) {
		local, backend := net.UDPAddrFromAddrPort(s.Local), net.UDPAddrFromAddrPort(a.options.Backend)
		conn, err := net.DialUDP("udp4", local, backend)
		if err != nil {
			return nil, err
		}
		return &ownedFlow{tuple: tuple, id: tuple.ID(), conn: conn}, nil
	})
	if err != nil {
		a.owner.flows.RemoveFlow(tuple.ID())
		return errSuccession.Wrap(err, "open the socket at %s", s.Local)
	}
	o.received(time.Unix(0, s.Seen), s.ReplyTo)
	a.owner.pusher.AddFlow(o.id)
	service := view.ServiceID(a.service.Load())
	a.tasks.Go(func() { a.readBackend(o, service) })
	return nil
}

// canBequeath reports whether a successor can go on as the same run: the service
// has neither requests, whose records stay here, nor streams.
func (a *Agent) canBequeath() bool {
	return a.options.HandoverPath != "" && a.packetMode.Load() && !a.requests.Busy() && a.tunnels.Load() == 0 && a.owner.flows.View() != nil
}

// bequeath stops at once and leaves the flows to a successor. Packets on their way
// are lost; callers send them again.
func (a *Agent) bequeath() error {
	a.cancel()
	if err := a.envelopes.SetDeadline(udp.LongAgo); err != nil {
		return errorx.DecorateMany("agent does not stop", err, a.Close())
	}
	a.envelopesRead.Wait()
	now := a.options.Now()
	s := succession{
		At: now, ID: a.options.ID, Incarnation: a.options.Incarnation, Sequence: a.announced.Load(),
		View: a.owner.flows.View(), Entries: a.owner.flows.Export(a.owner.elapsed()),
		Sockets: a.flows.save(), Sessions: a.opener.Export(),
	}
	if own := a.own.Load(); own != nil {
		s.Services = []proto.Service{*own}
	}
	data, err := cbor.Marshal(s)
	if err == nil {
		err = os.WriteFile(a.options.HandoverPath, data, successionMode)
	}
	if err != nil {
		_ = os.Remove(a.options.HandoverPath) // a part of the state must not be taken over
		err = errSuccession.Wrap(err, "leave %d flows to a successor", len(s.Sockets))
	} else {
		a.options.Log.Info("Left the flows to a successor.", zap.Int("flows", len(s.Sockets)), zap.Int("entries", len(s.Entries)))
	}
	return errorx.DecorateMany("agent does not stop", err, a.Close())
}

// save returns the sockets of all flows.
func (f *flows) save() []savedSocket {
	var out []savedSocket
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for tuple, o := range s.flows {
			local, ok := o.conn.LocalAddr().(*net.UDPAddr)
			if !ok {
				continue // sockets of this package are all of UDP
			}
			out = append(out, savedSocket{
				Caller: tuple.Caller, Service: tuple.Service, Local: local.AddrPort(),
				ReplyTo: o.lastInbound().replyTo, Seen: o.seen.Load(),
			})
		}
		s.mu.Unlock()
	}
	return out
}
