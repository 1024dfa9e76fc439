package agent

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
)

const (
	// historyWindow is how long after a change of the view the agents that
	// earlier ones placed a flow on are asked about it.
	historyWindow = 30 * time.Second
	// pointerTTL is how long an unused pointer is kept; refreshEvery is how
	// often its owner renews it.
	pointerTTL   = 10 * time.Minute
	refreshEvery = 4 * time.Minute
	// batchPointers is the number of pointers in a message, which fits the
	// smallest MTU of the internet.
	batchPointers = 40
	// batchesPerPush bounds pushing to 800 pointers a second.
	batchesPerPush = 1
)

// owner decides about the flows of this agent. It keeps the decisions' clock
// and numbers the service's addresses in the order of their adoption.
type owner struct {
	self      flow.Peer
	flows     *flow.Agent
	pusher    *locator.Pusher
	now       func() time.Time
	started   time.Time
	addresses view.Version
}

func newOwner(o Options, addr netip.AddrPort) owner {
	self := flow.Peer{Seed: view.SeedOf(o.ID), Incarnation: o.Incarnation, Addr: addr}
	flows := flow.NewAgent(flow.AgentOptions{
		Self: self,
		// The sockets' timeout ends flows; this one is for flows without one.
		IdleTimeout:   2 * o.IdleTimeout,
		PointerTTL:    max(pointerTTL, 2*o.IdleTimeout),
		HistoryWindow: historyWindow,
	})
	return owner{
		self:  self,
		flows: flows,
		pusher: locator.NewPusher(locator.Options{
			Self: self, Flows: flows, BatchSize: batchPointers, BatchesPerTick: batchesPerPush, RefreshInterval: refreshEvery,
		}),
		now:     o.Now,
		started: o.Now(),
	}
}

func (o *owner) elapsed() time.Duration { return o.now().Sub(o.started) }

// setService puts the service's addresses in force. Only the subscription's
// goroutine calls it.
func (o *owner) setService(id view.ServiceID, addresses []netip.AddrPort) {
	o.addresses.Number++
	o.flows.SetService(id, o.addresses, addresses)
}

// setView adopts a view, if it is newer, and queues the pointers it requires.
func (o *owner) setView(v *view.View) bool {
	if !o.flows.SetView(o.elapsed(), v) {
		return false
	}
	o.pusher.SetView(o.elapsed(), v)
	return true
}

// receive decides about a packet and queues the pointers that follow from it.
func (o *owner) receive(p *flow.Packet) flow.Action {
	id := p.Tuple.ID()
	action := o.flows.Receive(o.elapsed(), p)
	if action.BecameOwner {
		o.pusher.AddFlow(id)
	}
	if !action.PointerRecipient.IsZero() {
		o.pusher.QueueAnswer(action.PointerRecipient, action.Owner, id)
	}
	return action
}
