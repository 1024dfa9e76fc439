package dissemination

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the laggards in a RelaySummary and of the disconnected daemons that a
// Source keeps.
const (
	maxLaggards     = 32
	maxDisconnected = 1024
)

// Laggard is a daemon that has not applied a position yet.
type Laggard struct {
	ID      string   `cbor:"1,keyasint"`
	Applied Position `cbor:"2,keyasint"`
	// Disconnected is set if the daemon's connection was lost.
	Disconnected bool `cbor:"3,keyasint,omitempty"`
}

// RelaySummary is the progress of the daemons behind a relay.
type RelaySummary struct {
	// Position is the position that LaggardCount and Laggards refer to.
	Position Position `cbor:"1,keyasint"`
	// Total is the number of daemons, including recently disconnected ones.
	Total uint32 `cbor:"2,keyasint"`
	// LaggardCount is the number of daemons that have not applied Position.
	LaggardCount uint32 `cbor:"3,keyasint,omitempty"`
	// Laggards lists the laggards that are furthest behind, in that order.
	Laggards []Laggard `cbor:"4,keyasint,omitempty"`
}

// Progress is the number of daemons that have applied one position.
type Progress struct {
	// Total is the number of daemons, including recently disconnected ones.
	Total int
	// Applied is the number of daemons that have reported the position as applied.
	Applied int
	// Laggards lists some of the other daemons, those furthest behind first.
	Laggards []Laggard
}

// disconnectedDaemon is a daemon whose session has ended.
type disconnectedDaemon struct {
	id             string
	applied        Position
	disconnectedAt time.Duration
}

func (s *Source) recordDisconnected(now time.Duration, sub *subscriber) {
	if sub.isRelay {
		return // Its daemons reconnect to other relays.
	}
	if len(s.disconnected) >= maxDisconnected {
		s.disconnected = slices.Delete(s.disconnected, 0, 1)
	}
	s.disconnected = append(s.disconnected, disconnectedDaemon{id: sub.id, applied: sub.applied, disconnectedAt: now})
}

// Summary returns the progress of the downstream daemons at the complete position
// of the store.
func (s *Source) Summary() RelaySummary {
	p, laggards := s.computeProgress(s.store.completePosition)
	return RelaySummary{
		Position:     s.store.completePosition,
		Total:        uint32(p.Total),
		LaggardCount: uint32(p.Total - p.Applied),
		Laggards:     furthestBehind(laggards),
	}
}

// Progress returns how many downstream daemons have applied a position. The count
// may be too low if a relay has more laggards than its RelaySummary lists.
func (s *Source) Progress(at Position) Progress {
	p, laggards := s.computeProgress(at)
	p.Laggards = furthestBehind(laggards)
	return p
}

func (s *Source) computeProgress(at Position) (p Progress, laggards []Laggard) {
	for _, sub := range s.subscribers {
		if sub.isRelay {
			total, laggardCount, listed := sub.summary.laggardsAt(at)
			p.Total += total
			p.Applied += total - laggardCount
			laggards = append(laggards, listed...)
			continue
		}
		p.Total++
		if at.Newer(sub.applied) {
			laggards = append(laggards, Laggard{ID: sub.id, Applied: sub.applied})
			continue
		}
		p.Applied++
	}
	for _, d := range s.disconnected {
		p.Total++
		if at.Newer(d.applied) {
			laggards = append(laggards, Laggard{ID: d.id, Applied: d.applied, Disconnected: true})
			continue
		}
		p.Applied++
	}
	return p, laggards
}

// laggardsAt returns the number of daemons of a relay, the number of those that
// have not reported a position as applied, and the listed ones among the latter.
func (s *RelaySummary) laggardsAt(at Position) (total, laggardCount int, listed []Laggard) {
	if s == nil {
		return 0, 0, nil
	}
	for _, l := range s.Laggards {
		if at.Newer(l.Applied) {
			listed = append(listed, l)
		}
	}
	total, laggardCount = int(s.Total), int(s.LaggardCount)
	switch {
	case at.Newer(s.Position):
		return total, total, listed
	case len(listed) < len(s.Laggards) || len(s.Laggards) == laggardCount:
		return total, len(listed), listed // Every laggard is listed.
	}
	return total, laggardCount, listed
}

// furthestBehind returns the maxLaggards daemons that are furthest behind, in that
// order.
func furthestBehind(all []Laggard) []Laggard {
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
