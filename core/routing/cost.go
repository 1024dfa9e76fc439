package routing

import (
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

const (
	// fullPace is the pace of a member whose requests take as long as the median one
	// of its service, see paceOf.
	fullPace = 1000
	// maxEqualPace is the greatest pace, and fullPace squared over it the least, of
	// members that count as equally fast. Measured service times differ by chance.
	maxEqualPace = 1250
	// minPace bounds what a member gains by answering fast: a failing one may.
	minPace = 500
	// maxPace bounds what a member loses by answering slowly.
	maxPace = 8000
	// medianTTL is how long the median service time of a service is used.
	medianTTL = 500 * time.Millisecond
)

// medianTime is the median of the known service times of a service, in microseconds.
type medianTime struct {
	value      uint32
	computedAt time.Duration
}

// paceOf returns how long a request occupies a slot of the member in thousandths of the
// median of its service. It is fullPace while the member's service time is unknown or
// near the median, so that members of equal speed are placed on as if none was measured.
func (l *loadTracker) paceOf(now time.Duration, m *member, ml *memberLoad) uint64 {
	if !l.rules[m.service].MeasuredCapacity || ml.report.ServiceTime == 0 {
		return fullPace
	}
	median := l.medianOf(now, m.service)
	if median == 0 {
		return fullPace
	}
	pace := uint64(ml.report.ServiceTime) * fullPace / uint64(median)
	if pace <= maxEqualPace && pace*maxEqualPace >= fullPace*fullPace {
		return fullPace
	}
	return min(max(pace, minPace), maxPace)
}

// medianOf returns the median of the known service times of a service.
func (l *loadTracker) medianOf(now time.Duration, service view.ServiceID) uint32 {
	cached, ok := l.medians[service]
	if ok && now-cached.computedAt < medianTTL {
		return cached.value
	}
	var known []uint32
	members := l.table.members[service]
	for i := range members {
		if ml := l.byMember[memberKey{service, members[i].peer.Seed}]; ml != nil && ml.report.ServiceTime > 0 {
			known = append(known, ml.report.ServiceTime)
		}
	}
	slices.Sort(known)
	median := medianTime{computedAt: now}
	if len(known) > 0 {
		median.value = known[len(known)/2]
	}
	l.medians[service] = median
	return median.value
}

// cost returns the work per slot at full weight that the member has before it, in
// thousandths of a running request of the member with the median service time. An open
// flow brings all its later requests, so that a slow member gets fewer of them too.
//
// It answers the load under which members of different speed serve the same service: the
// slow ones would queue while the fast ones have free slots.
func (l *loadTracker) cost(now time.Duration, m *member, ml *memberLoad) uint64 {
	report := ml.validReport(now)
	total := uint64(report.Flows)*flowCost + (uint64(report.RunningRequests)+uint64(ml.recentPlacements(now)))*requestCost
	perSlot := total * view.FullWeight / (uint64(m.slots) * uint64(max(m.weight, 1)))
	return (perSlot + ml.queueLoad(now, m)) * l.paceOf(now, m, ml) / fullPace
}
