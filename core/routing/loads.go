package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/view"
)

// Load is an agent's report of the load of its backend server.
type Load struct {
	// Flows is the number of open flows.
	Flows uint32 `cbor:"1,keyasint"`
	// RunningRequests is the number of requests whose response is pending.
	RunningRequests uint32 `cbor:"2,keyasint"`
	// ServiceTime is the estimated time in microseconds that a request occupies a slot;
	// 0 while it is unknown.
	ServiceTime uint32 `cbor:"3,keyasint,omitempty"`
	// IsCold is set while the backend server warms up under a limit of new flows.
	// NewFlowAllowance is the number of new flows that it accepts at the moment.
	IsCold           bool   `cbor:"4,keyasint,omitempty"`
	NewFlowAllowance uint16 `cbor:"5,keyasint,omitempty"`
	// IsUnfit is set while the agent judges that its backend server cannot serve new
	// flows, whatever its health check says.
	IsUnfit bool `cbor:"6,keyasint,omitempty"`
}

const (
	// suspectTime is how long a member gets no new flows after it has left a SYN
	// unanswered or refused it.
	suspectTime = 1 * time.Second
	// flowCost is the load of an open flow without a running request, in
	// thousandths of a running request.
	flowCost = 250
	// requestCost is the load of a running request, in the unit of flowCost.
	requestCost = 1000
	// placementTTL is how long a placed flow is counted in addition to the reports,
	// which may not include it yet, unless the member confirms it earlier.
	placementTTL = 100 * time.Millisecond
	// reportTTL is how long a report is valid. Agents report an unchanged load more
	// often than that to the balancers that send them packets.
	reportTTL = 3 * time.Second
	// crossZonePenalty is added to the load of members in other availability zones, in
	// thousandths of a running request per slot.
	crossZonePenalty = 150
	// firstSYNLimit is the number of requests per slot, in tenths, from which a member
	// is overloaded for a first SYN. Requests beyond the slots are queued, for about the
	// duration of one request.
	firstSYNLimit = 22
	// retransmitLimit is the same for retransmitted SYNs: they get free slots only.
	retransmitLimit = 10
)

// loadTracker holds the latest load report of each member and the flows placed since.
type loadTracker struct {
	mu       sync.Mutex
	byMember map[memberKey]*memberLoad
	rules    map[view.ServiceID]PlacementRules
	// medians holds the median service time of each service.
	medians map[view.ServiceID]medianTime
	// table is the active table, and accepting the number of its members of each service
	// that accept new flows.
	table     *Table
	accepting map[view.ServiceID]int
	// unfit holds the seeds of the members whose latest report calls them unfit.
	unfit map[view.ServiceID]map[uint64]bool
}

type memberKey struct {
	service view.ServiceID
	seed    uint64
}

type memberLoad struct {
	report         Load
	reportedAt     time.Duration
	placedAt       []time.Duration // of the flows not yet confirmed
	suspectedUntil time.Duration
	// placedSinceReport is the number of flows placed since the latest report.
	placedSinceReport int
	// triedAt is when the member was last tried while it was unfit.
	triedAt time.Duration
	// isUnresponsive is set if the member has left a probe unanswered.
	isUnresponsive bool
}

func newLoadTracker() *loadTracker {
	return &loadTracker{
		byMember: make(map[memberKey]*memberLoad), medians: make(map[view.ServiceID]medianTime), table: NewTable(),
		unfit: make(map[view.ServiceID]map[uint64]bool),
	}
}

func (l *loadTracker) loadOf(m *member) *memberLoad {
	key := memberKey{m.service, m.peer.Seed}
	ml := l.byMember[key]
	if ml == nil {
		ml = &memberLoad{}
		l.byMember[key] = ml
	}
	return ml
}

// report stores a load report. As the member has responded, it is no longer suspect or
// unresponsive.
func (l *loadTracker) report(now time.Duration, m *member, load Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ml := l.loadOf(m)
	ml.report, ml.reportedAt, ml.suspectedUntil, ml.isUnresponsive = load, now, 0, false
	ml.placedSinceReport = 0
	l.setUnfit(m.service, m.peer.Seed, load.IsUnfit)
}

// suspect excludes a member from placement for suspectTime.
func (l *loadTracker) suspect(now time.Duration, m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(m).suspectedUntil = now + suspectTime
}

// markUnresponsive records that a member has left a probe unanswered.
func (l *loadTracker) markUnresponsive(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(m).isUnresponsive = true
}

// markResponsive records that a member has returned a segment.
func (l *loadTracker) markResponsive(service view.ServiceID, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ml := l.byMember[memberKey{service, seed}]; ml != nil {
		ml.isUnresponsive = false
	}
}

// confirmPlacement records that a member has confirmed a flow. Its load reports include
// the flow from now on, so one placement is no longer counted separately.
func (l *loadTracker) confirmPlacement(service view.ServiceID, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ml := l.byMember[memberKey{service, seed}]
	if ml == nil {
		return
	}
	ml.isUnresponsive = false
	if len(ml.placedAt) > 0 {
		ml.placedAt = ml.placedAt[1:]
	}
}

// sortUnresponsiveLast moves to the end the members that are unresponsive, gone or
// removed from their view.
func (l *loadTracker) sortUnresponsiveLast(members []*member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := func(m *member) int {
		ml := l.byMember[memberKey{m.service, m.peer.Seed}]
		if m.isGone || m.removedAt > 0 || ml != nil && ml.isUnresponsive {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(members, func(a, b *member) int { return cmp.Compare(rank(a), rank(b)) })
}

// setTable records the active table, and deletes the loads of members that it does not
// contain.
func (l *loadTracker) setTable(t *Table) {
	accepting := t.acceptingMembers()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.accepting = t, accepting
	for key := range l.byMember {
		if t.findMember(key.service, key.seed) == nil {
			delete(l.byMember, key)
			l.setUnfit(key.service, key.seed, false)
		}
	}
}

// selectLeastLoaded returns the candidate with the least load that is not avoided, and
// records the placement of a flow on it. If all are avoided it returns the first. All
// candidates must accept new flows. crossZonePenalty makes it prefer members in zone.
func (l *loadTracker) selectLeastLoaded(now time.Duration, candidates []*member, zone string) *member {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.takeTrial(now, candidates)
	if best != nil {
		candidates = nil
	}
	var fallback *member
	var least uint64
	for _, m := range candidates {
		if fallback == nil {
			fallback = m
		}
		ml := l.loadOf(m)
		if l.avoids(now, m, ml) {
			continue
		}
		load := l.cost(now, m, ml)
		if m.zone != zone {
			load += crossZonePenalty
		}
		if best == nil || load < least {
			best, least = m, load
		}
	}
	if best == nil {
		best = fallback
	}
	if best != nil {
		ml := l.loadOf(best)
		ml.placedAt = append(ml.placedAt, now)
		ml.placedSinceReport++
	}
	return best
}

// allOverloaded reports whether there are members that accept new flows and all of them
// have reached the limit for a SYN with that number of retransmissions. Cold members that
// take no new flow at the moment and unfit ones that flows avoid have no room for it.
func (l *loadTracker) allOverloaded(now time.Duration, members []member, retransmits uint32) bool {
	limit := firstSYNLimit
	if retransmits > 0 {
		limit = retransmitLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	anyAccepts := false
	for i := range members {
		m := &members[i]
		if !m.acceptsNew {
			continue
		}
		ml := l.loadOf(m)
		if ml.isAtColdLimit(now) || ml.validReport(now).IsUnfit && l.mayAvoid(now, m) {
			continue
		}
		anyAccepts = true
		if (int(ml.validReport(now).RunningRequests)+ml.recentPlacements(now))*10 < int(m.slots)*limit {
			return false
		}
	}
	return anyAccepts
}

// validReport returns the latest report, or a zero Load if it has expired.
func (ml *memberLoad) validReport(now time.Duration) Load {
	if now-ml.reportedAt > reportTTL {
		return Load{}
	}
	return ml.report
}

// recentPlacements returns the number of unconfirmed flows that were placed within
// placementTTL, and deletes older placements.
func (ml *memberLoad) recentPlacements(now time.Duration) int {
	recent := 0
	for i, at := range ml.placedAt {
		if now-at <= placementTTL {
			recent = len(ml.placedAt) - i
			break
		}
	}
	ml.placedAt = ml.placedAt[len(ml.placedAt)-recent:]
	return recent
}
