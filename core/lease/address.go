package lease

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/view"
)

// addressHolders maps each packet address to the member that has taken it last, of any
// service: an address that one service no longer uses may go to another one.
type addressHolders map[netip.AddrPort]*member

// release removes a member from its address, unless another one has taken it.
func (h addressHolders) release(m *member) {
	if h[m.announcement.Packets] == m {
		delete(h, m.announcement.Packets)
	}
}

// claimAddress decides whether member m holds the address of its announcement a. A new
// member or incarnation takes the address from the one before, and so does one that
// comes from another address. A renewal alone, which may be late, does not take it back
// while the holder has a lease.
func (r *Registry) claimAddress(now time.Duration, m *member, a *view.Announcement) {
	holder := r.holders[a.Packets]
	isMove := m.announcement.Packets != a.Packets
	isStart := m.announcement.Incarnation != a.Incarnation
	hasLiveHolder := holder != nil && holder != m && holder.phase != view.Gone && !holder.leaseExpired(now, &r.options)
	if hasLiveHolder && !isMove && !isStart {
		return
	}
	if isMove {
		r.holders.release(m)
	}
	if holder != nil && holder != m {
		r.setReassigned(holder, true)
	}
	r.holders[a.Packets] = m
	r.setReassigned(m, false)
}

func (r *Registry) setReassigned(m *member, reassigned bool) {
	if m.addressReassigned != reassigned {
		m.addressReassigned = reassigned
		r.services[m.service].dirty = true
	}
}
