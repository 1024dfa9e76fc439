package balancer

import (
	"net/netip"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/gateway"
)

// Dump is the state of a balancer for the admin interface.
type Dump struct {
	Envelopes netip.AddrPort   `json:"envelopes"`
	Listeners []netip.AddrPort `json:"listeners"`
	Views     []*view.View     `json:"views"`
	// Dropped counts the datagrams that could not be placed, by reason.
	Dropped map[string]uint64 `json:"dropped"`

	Counters Counters `json:"counters"`
}

// Counters is a snapshot of Stats.
type Counters struct {
	Forwarded uint64 `json:"forwarded"`
	Replied   uint64 `json:"replied"`
	Unplaced  uint64 `json:"unplaced"`
	Oversize  uint64 `json:"oversize"`
	Rejected  uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	// Requests counts the requests of services in request mode.
	Requests gateway.Counters `json:"requests"`
}

// Dump returns the balancer's state, a Dump.
func (b *Balancer) Dump() any {
	d := Dump{Envelopes: b.envelopes.Addr(), Counters: b.counters(), Dropped: b.forwarder.Drops().ByName()}
	b.mu.Lock()
	for key := range b.listeners {
		d.Listeners = append(d.Listeners, key.addr)
	}
	b.mu.Unlock()
	d.Views = b.table.activeViews()
	return d
}

// Counters returns the packet and request counters, a Counters.
func (b *Balancer) Counters() any { return b.counters() }

func (b *Balancer) counters() Counters {
	c := b.stats.counters()
	c.Requests = b.gateway.Counters()
	return c
}

func (s *Stats) counters() Counters {
	return Counters{
		Forwarded: s.Forwarded.Load(),
		Replied:   s.Replied.Load(),
		Unplaced:  s.Unplaced.Load(),
		Oversize:  s.Oversize.Load(),
		Rejected:  s.Rejected.Load(),
		Failed:    s.Failed.Load(),
	}
}
