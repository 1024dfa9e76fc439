package balancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/udp"
)

// The kinds of item that a balancer hands over.
const (
	itemEnvelopes = "envelopes" // the envelope socket; the body is a []packet.Session
	itemListener  = "listener"  // a socket on a service address; the body is a listenerItem
	itemState     = "state"     // the services and views in force, a proto.Update
)

// HandoverRole names the balancer's items.
const HandoverRole = "balancer"

// listenerItem tells what a listener serves.
type listenerItem struct {
	Mode proto.Mode     `cbor:"1,keyasint"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
}

// deadliner is a socket whose blocked reads or accepts can be ended.
type deadliner interface{ SetDeadline(t time.Time) error }

// Pause implements handover.Predecessor. Datagrams and connections wait in the
// kernel's queues; connections that are open go on.
func (b *Balancer) Pause() (handover.Bundle, error) {
	b.mu.Lock()
	b.paused = true
	b.setDeadlines(udp.LongAgo)
	b.mu.Unlock()
	// A reader may want the lock for its last datagram.
	b.readers.Wait()

	b.mu.Lock()
	defer b.mu.Unlock()
	state, err := cbor.Marshal(proto.Update{Services: b.table.serving(), Views: b.table.snapshot()})
	if err != nil {
		return nil, handover.Failed.Wrap(err, "encode the state of balancer %q", b.options.Name)
	}
	sessions, err := cbor.Marshal(b.opener.Export())
	if err != nil {
		return nil, handover.Failed.Wrap(err, "encode the envelope sessions of balancer %q", b.options.Name)
	}
	bundle := handover.Bundle{
		b.item(itemState, state, nil),
		b.item(itemEnvelopes, sessions, b.envelopes),
	}
	for key, l := range b.listeners {
		body, err := cbor.Marshal(listenerItem{Mode: key.mode, Addr: key.addr})
		if err != nil {
			return nil, handover.Failed.Wrap(err, "encode listener %s", key.addr)
		}
		bundle = append(bundle, b.item(itemListener, body, l))
	}
	return bundle, nil
}

func (b *Balancer) item(kind string, body []byte, s handover.Socket) handover.Item {
	return handover.Item{Role: HandoverRole, Name: b.options.Name, Kind: kind, Body: body, Socket: s}
}

// Resume implements handover.Predecessor.
func (b *Balancer) Resume() {
	b.run()
	b.reconcile(b.table.serving())
}

// run starts to read from every socket.
func (b *Balancer) run() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paused = false
	b.setDeadlines(time.Time{})
	b.readers.Go(b.readEnvelopes)
	for key, l := range b.listeners {
		b.serve(key, l)
	}
}

// Release implements handover.Predecessor. The successor holds the sockets; the
// connections that are open here go on until they end.
func (b *Balancer) Release() {
	b.cancel()
	b.closeListeners(proto.ModePacket, proto.ModeStream, proto.ModeRequest)
	b.closeListeners(proto.ModeRequest)
	b.streams.Go(func() { _ = b.server.Shutdown(context.Background()) })
	_ = b.envelopes.Close()
}

// setDeadlines sets the deadline of every socket that is read. The caller holds
// the lock.
func (b *Balancer) setDeadlines(t time.Time) {
	_ = b.envelopes.SetDeadline(t)
	for _, l := range b.listeners {
		_ = l.SetDeadline(t)
	}
}

// inherit takes the sockets and the state of a predecessor.
func (b *Balancer) inherit(bundle handover.Bundle) {
	for _, item := range bundle {
		switch item.Kind {
		case itemListener:
			b.inheritListener(item)
		case itemState:
			b.inheritState(item)
		case itemEnvelopes:
			b.inheritSessions(item)
		default:
			b.options.Log.Warn("Passed over what the predecessor handed over.", zap.String("kind", item.Kind))
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
		b.options.Log.Error("Cannot take over a listener.", zap.Error(err))
		return
	}
	b.listeners[listenKey{mode: header.Mode, addr: header.Addr}] = l
}

// inheritedSocket makes a listener of an item's socket.
func inheritedSocket(item handover.Item) (listener, error) {
	switch s := item.Socket.(type) {
	case *net.UDPConn:
		return udp.Inherit(s)
	case *net.TCPListener:
		return s, nil
	default:
		return nil, handover.Failed.New("item %q of balancer %q has no socket of a known type", item.Kind, item.Name)
	}
}

// inheritState puts the predecessor's state in force until control's own
// arrives.
func (b *Balancer) inheritState(item handover.Item) {
	var u proto.Update
	if err := cbor.Unmarshal(item.Body, &u); err != nil {
		b.options.Log.Error("Cannot take over the state.", zap.Error(err))
		return
	}
	for _, v := range u.Views {
		v.Prepare()
	}
	b.putInForce(u)
	b.inherited = u.Services
}

// inheritSessions refuses what the predecessor has already received.
func (b *Balancer) inheritSessions(item handover.Item) {
	var sessions []packet.Session
	err := cbor.Unmarshal(item.Body, &sessions)
	if err == nil {
		err = b.opener.Import(sessions)
	}
	if err != nil {
		b.options.Log.Error("Cannot take over the envelope sessions.", zap.Error(err))
	}
}

// retire adds the inherited services that control no longer knows to those
// that the first update removes.
func (b *Balancer) retire(u *proto.Update) {
	known := make(map[string]bool, len(u.Services))
	for _, s := range u.Services {
		known[s.Name] = true
	}
	for _, s := range b.inherited {
		if !known[s.Name] {
			u.Removed = append(u.Removed, s.Name)
		}
	}
	b.inherited = nil
}
