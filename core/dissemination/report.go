package dissemination

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a Summary and of the daemons remembered after they left.
const (
	maxLaggards = 32
	maxDeparted = 1024
)

// Laggard is a daemon that does not have the newest position in force.
type Laggard struct {
	ID      string   `cbor:"1,keyasint"`
	Applied Position `cbor:"2,keyasint"`
	// Disconnected is set if the daemon's connection was lost.
	Disconnected bool `cbor:"3,keyasint,omitempty"`
}

// RelaySummary tells what is in force at the daemons behind a relay.
type RelaySummary struct {
	// Position is the position that Lagging and Laggards refer to.
	Position Position `cbor:"1,keyasint"`
	// Total is the number of daemons, those that departed lately included.
	Total uint32 `cbor:"2,keyasint"`
	// LaggardCount is the number of daemons at which Mark is not in force.
	LaggardCount uint32 `cbor:"3,keyasint,omitempty"`
	// Laggards lists those furthest behind, in order.
	Laggards []Laggard `cbor:"4,keyasint,omitempty"`
}

// Progress tells how far one position is in force.
type Progress struct {
	// Total is the number of daemons known.
	Total int
	// Applied is the number of daemons known to have the position in force.
	Applied int
	// Laggards names some of the others, those furthest behind first.
	Laggards []Laggard
}

// departedDaemon is a daemon whose session ended.
type departedDaemon struct {
	id      string
	inForce Position
	at      time.Duration
}

func (s *Source) remember(now time.Duration, sub *subscriber) {
	if sub.relay {
		return // Its daemons come back through other relays.
	}
	if len(s.departed) >= maxDeparted {
		s.departed = slices.Delete(s.departed, 0, 1)
	}
	s.departed = append(s.departed, departedDaemon{id: sub.id, inForce: sub.inForce, at: now})
}

// Summary sums up the daemons below at the position that the store holds.
func (s *Source) Summary() RelaySummary {
	p, behind := s.progress(s.store.complete)
	return RelaySummary{
		Position:     s.store.complete,
		Total:        uint32(p.Total),
		LaggardCount: uint32(p.Total - p.Applied),
		Laggards:     lowest(behind),
	}
}

// Progress tells how far a position is in force at the daemons below. InForce
// may be too low where more daemons lag behind a relay than its Summary names.
func (s *Source) Progress(at Position) Progress {
	p, behind := s.progress(at)
	p.Laggards = lowest(behind)
	return p
}

func (s *Source) progress(at Position) (p Progress, behind []Laggard) {
	for _, sub := range s.order {
		if sub.relay {
			total, lagging, named := sub.summary.behind(at)
			p.Total += total
			p.Applied += total - lagging
			behind = append(behind, named...)
			continue
		}
		p.Total++
		if at.Newer(sub.inForce) {
			behind = append(behind, Laggard{ID: sub.id, Applied: sub.inForce})
			continue
		}
		p.Applied++
	}
	for _, d := range s.departed {
		p.Total++
		if at.Newer(d.inForce) {
			behind = append(behind, Laggard{ID: d.id, Applied: d.inForce, Disconnected: true})
			continue
		}
		p.Applied++
	}
	return p, behind
}

// behind returns how many daemons of a relay are not known to have a position
// in force, and the names that it gave of them.
func (m *RelaySummary) behind(at Position) (total, lagging int, named []Laggard) {
	if m == nil {
		return 0, 0, nil
	}
	for _, l := range m.Laggards {
		if at.Newer(l.Applied) {
			named = append(named, l)
		}
	}
	total, lagging = int(m.Total), int(m.LaggardCount)
	switch {
	case at.Newer(m.Position):
		return total, total, named
	case len(named) < len(m.Laggards) || len(m.Laggards) == lagging:
		return total, len(named), named // Every daemon behind was named.
	}
	return total, lagging, named
}

// lowest returns the daemons furthest behind, within the bound of a Summary.
func lowest(all []Laggard) []Laggard {
	slices.SortFunc(all, func(a, b Laggard) int {
		return cmp.Or(a.Applied.Compare(b.Applied), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(len(all), maxLaggards)]
}

func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
}

func sortKeyVersions(all []KeyVersion) {
	slices.SortFunc(all, func(a, b KeyVersion) int { return cmp.Compare(a.Key, b.Key) })
}
