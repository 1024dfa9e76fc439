package agent

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
)

const (
	// historyWindow is how long after a view change the search for a flow's owner
	// includes the agents that earlier views placed the flow on.
	historyWindow = 30 * time.Second
	// pointerTTL is how long an unused pointer is stored; refreshInterval is how
	// often the owner renews it.
	pointerTTL      = 10 * time.Minute
	refreshInterval = 4 * time.Minute
	// pointersPerBatch is the number of pointers in a message; a full message fits
	// the smallest MTU of the internet.
	pointersPerBatch = 40
	// batchesPerTick limits pushing to 800 pointers a second, at 20 ticks a second.
	batchesPerTick = 1
)

// ownershipTable tracks the owners of flows and queues the pointers to them. It
// supplies the flow.Agent with a monotonic clock and with a version for each set
// of the service's addresses.
type ownershipTable struct {
	self             flow.Peer
	flows            *flow.Agent
	pusher           *locator.Pusher
	now              func() time.Time
	started          time.Time
	addressesVersion view.Version
}

func newOwnershipTable(o Options, addr netip.AddrPort) ownershipTable {
	self := flow.Peer{Seed: view.SeedOf(o.ID), Incarnation: o.Incarnation, Addr: addr}
	flows := flow.NewAgent(flow.AgentOptions{
		Self: self,
		// Owned flows end by their sockets' idle timeout; this one removes owned
		// flows without a socket.
		IdleTimeout:   2 * o.IdleTimeout,
		PointerTTL:    max(pointerTTL, 2*o.IdleTimeout),
		HistoryWindow: historyWindow,
	})
	return ownershipTable{
		self:  self,
		flows: flows,
		pusher: locator.NewPusher(locator.Options{
			Self: self, Flows: flows, BatchSize: pointersPerBatch, BatchesPerTick: batchesPerTick, RefreshInterval: refreshInterval,
		}),
		now:     o.Now,
		started: o.Now(),
	}
}

func (o *ownershipTable) elapsed() time.Duration { return o.now().Sub(o.started) }

// setService activates the service's addresses. Only the subscription's
// goroutine calls it.
func (o *ownershipTable) setService(id view.ServiceID, addresses []netip.AddrPort) {
	o.addressesVersion.Number++
	o.flows.SetService(id, o.addressesVersion, addresses)
}

// setView adopts a view, if it is newer, and queues the pointers it requires.
func (o *ownershipTable) setView(v *view.View) bool {
	if !o.flows.SetView(o.elapsed(), v) {
		return false
	}
	o.pusher.SetView(o.elapsed(), v)
	return true
}

// receive returns the flow table's action for a packet and queues the pointers
// that the action requires.
func (o *ownershipTable) receive(p *flow.Packet) flow.Action {
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
