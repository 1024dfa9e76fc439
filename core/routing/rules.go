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
		ml := l.loadOf(m)
		report := ml.validReport(now)
		if !report.IsUnfit || report.RunningRequests > 0 || now-ml.triedAt < trialInterval || !l.mayAvoid(now, m) {
			continue
		}
		ml.triedAt = now
		return m
	}
	return nil
}

// mayAvoid reports whether an unfit member is among those that MaxUnfitPercent allows to
// avoid. All balancers that have the same reports choose the same ones.
func (l *loadTracker) mayAvoid(now time.Duration, m *member) bool {
	total, unfitBefore := 0, 0
	for key, ml := range l.byMember {
		if key.service != m.service {
			continue
		}
		total++
		if key.seed < m.peer.Seed && ml.validReport(now).IsUnfit {
			unfitBefore++
		}
	}
	return (unfitBefore+1)*100 <= total*int(l.rules[m.service].MaxUnfitPercent)
}
