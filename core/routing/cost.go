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
	// summaryTTL is how long a summary of a service's reports is used.
	summaryTTL = 250 * time.Millisecond
	// ownZonePreference is the share of its load, in thousandths, that a member in
	// another availability zone counts as more loaded while the own zone has room.
	ownZonePreference = 125
	// zoneRoomLoad and zoneFullLoad are the running requests per slot of the own zone, in
	// thousandths, up to which it has room, and from which it counts as full.
	zoneRoomLoad = 600
	zoneFullLoad = 1100
)

// loadSummary sums up the reports of a service's members.
type loadSummary struct {
	computedAt time.Duration
	// middle is the middle of the known service times, in microseconds.
	middle uint32
	// ownZoneLoad is the running requests per slot of the members in the own zone, in
	// thousandths.
	ownZoneLoad uint64
}

// paceOf returns how long a request occupies a slot of the member in thousandths of the
// middle of its service. It is fullPace while the member's service time is unknown or
// near the middle, so that members of equal speed are placed on as if none was measured.
func (l *loadTracker) paceOf(now time.Duration, m *member, ml *memberLoad) uint64 {
	if !l.rules[m.service].MeasuredCapacity || ml.report.ServiceTime == 0 {
		return fullPace
	}
	middle := l.summaryOf(now, m.service).middle
	pace := uint64(ml.report.ServiceTime) * fullPace / uint64(max(middle, 1))
	if pace <= maxEqualPace && pace*maxEqualPace >= fullPace*fullPace {
		return fullPace
	}
	return min(max(pace, minPace), maxPace)
}

// summaryOf returns the summary of a service's reports.
func (l *loadTracker) summaryOf(now time.Duration, service view.ServiceID) loadSummary {
	cached, ok := l.summaries[service]
	if ok && now-cached.computedAt < summaryTTL {
		return cached
	}
	var serviceTimes []uint32
	var running, slots uint64
	for key, ml := range l.byMember {
		if key.service != service {
			continue
		}
		if ml.report.ServiceTime > 0 {
			serviceTimes = append(serviceTimes, ml.report.ServiceTime)
		}
		if ml.isOwnZone && now-ml.reportedAt <= reportTTL {
			running += uint64(ml.report.RunningRequests)
			slots += uint64(ml.slots)
		}
	}
	slices.Sort(serviceTimes)
	summary := loadSummary{computedAt: now, ownZoneLoad: running * 1000 / max(slots, 1)}
	if len(serviceTimes) > 0 {
		summary.middle = serviceTimes[len(serviceTimes)/2]
	}
	l.summaries[service] = summary
	return summary
}

// crossZoneCost returns what a member in another availability zone counts as more loaded
// than the given load. It falls as the own zone fills up, so that flows leave a zone by
// and by before it is full, and return by and by.
func (l *loadTracker) crossZoneCost(now time.Duration, m *member, load uint64) uint64 {
	if !l.rules[m.service].MeasuredCapacity {
		return crossZonePenalty
	}
	own := l.summaryOf(now, m.service).ownZoneLoad
	room := zoneFullLoad - min(max(own, zoneRoomLoad), zoneFullLoad)
	return (crossZonePenalty + load*ownZonePreference/1000) * room / (zoneFullLoad - zoneRoomLoad)
}

// cost returns the work per slot at full weight that the member has before it, in
// thousandths of a running request of the middle member. An open flow brings all its
// later requests, so that a slow member gets fewer of them too.
func (l *loadTracker) cost(now time.Duration, m *member, ml *memberLoad) uint64 {
	report := ml.validReport(now)
	total := uint64(report.Flows)*flowCost + (uint64(report.RunningRequests)+uint64(ml.recentPlacements(now)))*requestCost
	perSlot := total * view.FullWeight / (uint64(m.slots) * uint64(max(m.weight, 1)))
	return perSlot * l.paceOf(now, m, ml) / fullPace
}
