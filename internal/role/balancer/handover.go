package balancer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// The kinds of a balancer's handover items.
const (
	itemEnvelopes = "envelopes" // the envelope socket; the body is a []packet.SessionState
	itemListener  = "listener"  // a socket on a service address; the body is a listenerItem
	itemState     = "state"     // the active services and views; the body is a proto.Update
)

// HandoverRole is the Role of a balancer's handover items.
const HandoverRole = "balancer"

// listenerItem describes an inherited listener.
type listenerItem struct {
	Mode proto.Mode     `cbor:"1,keyasint"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
}

// deadlineSetter is a socket whose blocked reads or accepts a deadline in the
// past interrupts.
type deadlineSetter interface{ SetDeadline(t time.Time) error }

// Pause implements handover.Predecessor. New datagrams and connections queue in
// the kernel; open connections continue.
func (b *Balancer) Pause() (handover.Bundle, error) {
	b.mu.Lock()
	b.paused = true
	b.setDeadlines(udp.ExpiredDeadline)
	b.mu.Unlock()
	// The lock is released first, as a reader may need it for its last datagram.
	b.readers.Wait()

	b.mu.Lock()
	defer b.mu.Unlock()
	state, err := cbor.Marshal(proto.Update{Services: b.table.activeServices(), Views: b.table.activeViews()})
	if err != nil {
		return nil, handover.Failed.Wrap(err, "encode the state of balancer %q", b.options.Name)
	}
	sessions, err := cbor.Marshal(b.opener.Export())
	if err != nil {
		return nil, handover.Failed.Wrap(err, "encode the envelope sessions of balancer %q", b.options.Name)
	}
	bundle := handover.Bundle{
		b.newItem(itemState, state, nil),
		b.newItem(itemEnvelopes, sessions, b.envelopes),
	}
	for key, l := range b.listeners {
		body, err := cbor.Marshal(listenerItem{Mode: key.mode, Addr: key.addr})
		if err != nil {
			return nil, handover.Failed.Wrap(err, "encode listener %s", key.addr)
		}
		bundle = append(bundle, b.newItem(itemListener, body, l))
	}
	return bundle, nil
}

func (b *Balancer) newItem(kind string, body []byte, s handover.Socket) handover.Item {
	return handover.Item{Role: HandoverRole, Name: b.options.Name, Kind: kind, Body: body, Socket: s}
}

// Resume implements handover.Predecessor.
func (b *Balancer) Resume() {
	b.startReaders()
	b.reconcile(b.table.activeServices())
}

// startReaders ends a pause and starts to read from every socket.
func (b *Balancer) startReaders() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paused = false
	b.setDeadlines(time.Time{})
	b.readers.Go(func() { guard.Loop(b.options.Log, b.readEnvelopes) })
	for key, l := range b.listeners {
		b.startReader(key, l)
	}
}

// Release implements handover.Predecessor. The successor holds descriptors of
// the same sockets; connections open in this process continue until they end.
func (b *Balancer) Release() {
	b.cancel()
	b.closeListeners(proto.ModePacket, proto.ModeStream, proto.ModeRequest)
	b.closeListeners(proto.ModeRequest)
	b.openStreams.Go(func() { _ = b.server.Shutdown(context.Background()) })
	_ = b.envelopes.Close()
}

// setDeadlines sets the deadline of every socket that is read. The caller holds
// b.mu.
func (b *Balancer) setDeadlines(t time.Time) {
	_ = b.envelopes.SetDeadline(t)
	for _, l := range b.listeners {
		_ = l.SetDeadline(t)
	}
}

// inheritItems adopts the sockets and the state of a predecessor.
func (b *Balancer) inheritItems(bundle handover.Bundle) {
	for _, item := range bundle {
		switch item.Kind {
		case itemListener:
			b.inheritListener(item)
		case itemState:
			b.inheritState(item)
		case itemEnvelopes:
			b.inheritSessions(item)
		default:
			b.options.Log.Warn("Ignored a handover item of unknown kind and closed its socket.", zap.String("kind", item.Kind))
			handover.Bundle{item}.Close()
		}
	}
}

func (b *Balancer) inheritListener(item handover.Item) {
	var header listenerItem
	l, err := inheritedSocket(item)
	if err == nil {
		err = cbor.Unmarshal(item.Body, &header)
	}
	if err != nil {
		b.options.Log.Error("Failed to inherit a listener from the predecessor.", zap.Error(err))
		return
	}
	b.listeners[listenerKey{mode: header.Mode, addr: header.Addr}] = l
}

// inheritedSocket converts an item's socket to a listener.
func inheritedSocket(item handover.Item) (listener, error) {
	switch s := item.Socket.(type) {
	case *net.UDPConn:
		return udp.NewConn(s)
	case *net.TCPListener:
		return s, nil
	default:
		return nil, handover.Failed.New("socket of handover item %q of balancer %q is neither a UDP socket nor a TCP listener", item.Kind, item.Name)
	}
}

// inheritState activates the predecessor's services and views until control's
// first update arrives.
func (b *Balancer) inheritState(item handover.Item) {
	var u proto.Update
	if err := cbor.Unmarshal(item.Body, &u); err != nil {
		b.options.Log.Error("Failed to restore the predecessor's services and views; nothing is served until control's first update.", zap.Error(err))
		return
	}
	u.Views = slices.DeleteFunc(u.Views, func(v *view.View) bool { return v == nil })
	for _, v := range u.Views {
		v.Prepare()
	}
	b.activate(u)
	b.inheritedServices = u.Services
}

// inheritSessions imports the predecessor's replay protection, so that envelopes
// which it has already received are rejected.
func (b *Balancer) inheritSessions(item handover.Item) {
	var sessions []packet.SessionState
	err := cbor.Unmarshal(item.Body, &sessions)
	if err == nil {
		err = b.opener.Import(sessions)
	}
	if err != nil {
		b.options.Log.Error("Failed to import the predecessor's envelope sessions; envelopes that it received may be accepted again.", zap.Error(err))
	}
}

// removeStaleInherited extends the removals of control's first update by the
// inherited services that the update does not contain.
func (b *Balancer) removeStaleInherited(u *proto.Update) {
	current := make(map[string]bool, len(u.Services))
	for _, s := range u.Services {
		current[s.Name] = true
	}
	for _, s := range b.inheritedServices {
		if !current[s.Name] {
			u.Removed = append(u.Removed, s.Name)
		}
	}
	b.inheritedServices = nil
}
