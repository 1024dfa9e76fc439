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
// its agent's report and within MaxUnfitPercent. An unfit one gets a flow from time to
// time if no request tries it. The caller holds the lock.
func (l *loadTracker) avoids(now time.Duration, m *member, ml *memberLoad) bool {
	if ml.suspectedUntil > now {
		return true
	}
	report := ml.validReport(now)
	if !report.IsUnfit || !l.mayAvoid(now, m) {
		return false
	}
	if report.RunningRequests == 0 && now-ml.triedAt >= trialInterval {
		ml.triedAt = now
		return false
	}
	return true
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
