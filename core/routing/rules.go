package routing

import (
	"time"

	"fulmarmount.org/core/view"
)

// trialInterval is the time between two new flows of one balancer for a member that is
// unfit and that no request tries.
const trialInterval = 2 * time.Second

// PlacementRules are the rules for the new flows of one service.
type PlacementRules struct {
	// MeasuredCapacity is set if backend servers get new flows by the service times that
	// their agents report. Otherwise all count as equally fast.
	MeasuredCapacity bool
	// MaxUnfitPercent is the maximum percentage of the members that are avoided at the
	// same time because their agents call them unfit.
	MaxUnfitPercent uint32
}

// SetPlacementRules sets the rules by service. Services without an entry have none.
func (b *Balancer) SetPlacementRules(rules map[view.ServiceID]PlacementRules) {
	b.loads.mu.Lock()
	defer b.loads.mu.Unlock()
	b.loads.rules = rules
}

// avoids reports whether new flows avoid the member: while it is suspect, or unfit by
// its agent's report and within MaxUnfitPercent. The caller holds the lock.
func (l *loadTracker) avoids(now time.Duration, m *member, ml *memberLoad) bool {
	return ml.suspectedUntil > now || ml.validReport(now).IsUnfit && l.mayAvoid(now, m)
}

// takeTrial returns a candidate that is avoided as unfit, that no request tries and that
// this balancer has not tried for trialInterval, or nil. A flow placed on it shows
// whether it is well again. The caller holds the lock.
func (l *loadTracker) takeTrial(now time.Duration, candidates []*member) *member {
	for _, m := range candidates {
		if ml := l.loadOf(m); l.isTrialDue(now, m, ml) {
			ml.triedAt = now
			return m
		}
	}
	return nil
}

// isTrialDue reports whether the next flow that may be placed on the member is a trial.
func (l *loadTracker) isTrialDue(now time.Duration, m *member, ml *memberLoad) bool {
	report := ml.validReport(now)
	if ml.suspectedUntil > now {
		return false
	}
	return report.IsUnfit && report.RunningRequests == 0 && now-ml.triedAt >= trialInterval && l.mayAvoid(now, m)
}

// setUnfit records whether a member's latest report calls it unfit.
func (l *loadTracker) setUnfit(service view.ServiceID, seed uint64, isUnfit bool) {
	seeds := l.unfit[service]
	switch {
	case !isUnfit:
		delete(seeds, seed)
	case seeds == nil:
		l.unfit[service] = map[uint64]bool{seed: true}
	default:
		seeds[seed] = true
	}
	if len(l.unfit[service]) == 0 {
		delete(l.unfit, service)
	}
}

// mayAvoid reports whether an unfit member is among those that MaxUnfitPercent allows to
// avoid. All balancers that have the same reports and view choose the same ones. Those
// that the view lists without new flows come first, whoever has decided it: views and
// balancers together take out no more than allowed.
func (l *loadTracker) mayAvoid(now time.Duration, m *member) bool {
	if !m.acceptsNew {
		return true
	}
	total, unfitBefore := l.accepting[m.service], 0
	for seed := range l.unfit[m.service] {
		other, ml := l.table.findMember(m.service, seed), l.byMember[memberKey{m.service, seed}]
		switch {
		case other == nil || other.isGone || other.removedAt > 0 || ml == nil || !ml.validReport(now).IsUnfit:
		case !other.acceptsNew:
			total++
			unfitBefore++
		case seed < m.peer.Seed:
			unfitBefore++
		}
	}
	return (unfitBefore+1)*100 <= total*int(l.rules[m.service].MaxUnfitPercent)
}
