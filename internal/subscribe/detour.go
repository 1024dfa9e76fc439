package subscribe

import (
	"net/netip"
	"slices"
)

// Detour remembers the control processes that have taken a stream and ended it without a
// word, one after the other: each belongs to no control group or knows no leader.
//
// It answers the load after a loss of power with lost disks: a part of the control
// processes has nothing to serve, and a daemon whose order begins with one of them would
// wait for its delay while the others serve already.
type Detour struct{ refusing []netip.AddrPort }

// Order returns the control processes of order that have not turned the daemon away in
// this round.
func (d *Detour) Order(order []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(order), func(addr netip.AddrPort) bool { return slices.Contains(d.refusing, addr) })
}

// RecordRefusal records that a control process has turned the daemon away, and reports whether
// others of control are to be tried without a delay. Once all have, the round is over.
func (d *Detour) RecordRefusal(addr netip.AddrPort, control []netip.AddrPort) bool {
	d.refusing = append(d.refusing, addr)
	if len(d.Order(control)) > 0 {
		return true
	}
	d.Reset()
	return false
}

// Reset ends the round: a control process serves, or the daemon waits for its delay.
func (d *Detour) Reset() { d.refusing = nil }
