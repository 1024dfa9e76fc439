package routing

import (
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

const (
	// fullPace is the pace of a member whose requests take as long as the middle one
	// of its service, see paceOf.
	fullPace = 1000
	// maxEqualPace is the greatest pace, and fullPace squared over it the least, of
	// members that count as equally fast. Measured service times differ by chance.
	maxEqualPace = 1250
	// minPace bounds what a member gains by answering fast: a failing one may.
	minPace = 500
	// maxPace bounds what a member loses by answering slowly.
	maxPace = 8000
	// middleTTL is how long the middle service time of a service is used.
	middleTTL = 500 * time.Millisecond
)

// middleTime is the middle of the known service times of a service, in microseconds.
type middleTime struct {
	value      uint32
	computedAt time.Duration
}

// paceOf returns how long a request occupies a slot of the member in thousandths of the
// middle of its service. It is fullPace while the member's service time is unknown or
// near the middle, so that members of equal speed are placed on as if none was measured.
func (l *loadTracker) paceOf(now time.Duration, m *member, ml *memberLoad) uint64 {
	if !l.rules[m.service].MeasuredCapacity || ml.report.ServiceTime == 0 {
		return fullPace
	}
	middle := l.middleOf(now, m.service)
	if middle == 0 {
		return fullPace
	}
	pace := uint64(ml.report.ServiceTime) * fullPace / uint64(middle)
	if pace <= maxEqualPace && pace*maxEqualPace >= fullPace*fullPace {
		return fullPace
	}
	return min(max(pace, minPace), maxPace)
}

// middleOf returns the middle of the known service times of a service.
func (l *loadTracker) middleOf(now time.Duration, service view.ServiceID) uint32 {
	cached, ok := l.middles[service]
	if ok && now-cached.computedAt < middleTTL {
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
	middle := middleTime{computedAt: now}
	if len(known) > 0 {
		middle.value = known[len(known)/2]
	}
	l.middles[service] = middle
	return middle.value
}

// cost returns the work per slot at full weight that the member has before it, in
// thousandths of a running request of the middle member. An open flow brings all its
// later requests, so that a slow member gets fewer of them too.
func (l *loadTracker) cost(now time.Duration, m *member, ml *memberLoad) uint64 {
	report := ml.validReport(now)
	total := uint64(report.Flows)*flowCost + (uint64(report.RunningRequests)+uint64(ml.recentPlacements(now)))*requestCost
	perSlot := total * view.FullWeight / (uint64(m.slots) * uint64(max(m.weight, 1)))
	return (perSlot + ml.queueLoad(now, m)) * l.paceOf(now, m, ml) / fullPace
}
