package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// SeatChange adds and removes seats.
type SeatChange struct {
	Taken []netip.AddrPort `cbor:"1,keyasint,omitempty" json:"taken,omitempty"`
	Left  []netip.AddrPort `cbor:"2,keyasint,omitempty" json:"left,omitempty"`
}

// maxSeats bounds the seats of a fleet.
const maxSeats = 1 << 18

// Seats returns the addresses of all agents whose backend servers may hold flows,
// in order. A new leader has heard of every backend server once all seats have
// announced themselves.
func (m *Machine) Seats() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.seats), func(a, b netip.AddrPort) int { return a.Compare(b) })
}

// changeSeats neither makes a version nor a revision: operators see no change.
func (m *Machine) changeSeats(c *SeatChange) Result {
	for _, addr := range c.Left {
		delete(m.seats, addr)
	}
	for _, addr := range c.Taken {
		if len(m.seats) < maxSeats {
			m.seats[addr] = struct{}{}
		}
	}
	return m.result(Accepted)
}

func newSeats(list []netip.AddrPort) map[netip.AddrPort]struct{} {
	seats := make(map[netip.AddrPort]struct{}, len(list))
	for _, addr := range list {
		seats[addr] = struct{}{}
	}
	return seats
}

// problems returns what is wrong with the change.
func (c *SeatChange) problems() []Problem {
	for _, addr := range slices.Concat(c.Taken, c.Left) {
		if !addr.IsValid() {
			return []Problem{{Section: "command", Key: "seats", Message: "a seat is no address"}}
		}
	}
	if cmp.Or(len(c.Taken), len(c.Left)) == 0 {
		return []Problem{{Section: "command", Key: "seats", Message: "no seat changes"}}
	}
	return nil
}
