package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// RegistrationChange adds and removes seats.
type RegistrationChange struct {
	Added   []netip.AddrPort `cbor:"1,keyasint,omitempty" json:"taken,omitempty"`
	Removed []netip.AddrPort `cbor:"2,keyasint,omitempty" json:"left,omitempty"`
}

// maxSeats bounds the seats of a fleet.
const maxSeats = 1 << 18

// RegisteredAgents returns the addresses of all agents whose backend servers may hold flows,
// in order. A new leader has heard of every backend server once all seats have
// announced themselves.
func (m *StateMachine) RegisteredAgents() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.seats), func(a, b netip.AddrPort) int { return a.Compare(b) })
}

// changeSeats neither makes a version nor a revision: operators see no change.
func (m *StateMachine) changeSeats(c *RegistrationChange) Result {
	for _, addr := range c.Removed {
		delete(m.seats, addr)
	}
	for _, addr := range c.Added {
		if len(m.seats) < maxSeats {
			m.seats[addr] = struct{}{}
		}
	}
	return m.result(OutcomeAccepted)
}

func newSeats(list []netip.AddrPort) map[netip.AddrPort]struct{} {
	seats := make(map[netip.AddrPort]struct{}, len(list))
	for _, addr := range list {
		seats[addr] = struct{}{}
	}
	return seats
}

// problems returns what is wrong with the change.
func (c *RegistrationChange) problems() []Problem {
	for _, addr := range slices.Concat(c.Added, c.Removed) {
		if !addr.IsValid() {
			return []Problem{{Section: "command", Key: "seats", Message: "a seat is no address"}}
		}
	}
	if cmp.Or(len(c.Added), len(c.Removed)) == 0 {
		return []Problem{{Section: "command", Key: "seats", Message: "no seat changes"}}
	}
	return nil
}
