package routing

import "time"

// isColdAndFull reports whether the member is cold and has no free slot. A request that
// waits there meets the time of a slow one.
func (ml *memberLoad) isColdAndFull(now time.Duration, m *member) bool {
	return ml.validReport(now).IsCold && ml.running(now) >= int(m.slots)
}

// isAtColdLimit reports whether the member is cold and has been given as many flows as its
// latest report allows. A report older than the window of the limit says nothing about it.
func (ml *memberLoad) isAtColdLimit(now time.Duration) bool {
	if !ml.report.IsCold || now-ml.reportedAt > newFlowWindow {
		return false
	}
	return ml.placedSinceReport >= int(ml.report.NewFlowAllowance)
}

// withColdRoom returns the candidates other than cold members that take no new flow at the
// moment. Of the others it leaves out cold ones without a free slot, unless new flows avoid
// all the rest. It answers the return of many cold backend servers at once: they have the least
// load, and flows placed on them beyond their limit would be refused one after the other.
func (l *loadTracker) withColdRoom(now time.Duration, candidates []*member) []*member {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepting, preferred := make([]*member, 0, len(candidates)), make([]*member, 0, len(candidates))
	hasTrusted := false
	for _, m := range candidates {
		ml := l.loadOf(m)
		if ml.isAtColdLimit(now) {
			continue
		}
		accepting = append(accepting, m)
		if !ml.isColdAndFull(now, m) {
			preferred = append(preferred, m)
			hasTrusted = hasTrusted || !l.avoids(now, m, ml)
		}
	}
	if hasTrusted {
		return preferred
	}
	return accepting
}

// isAtColdLimit reports whether a member that has refused a flow did so for its limit:
// its agent has sent its load before the refusal.
func (l *loadTracker) isAtColdLimit(now time.Duration, m *member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadOf(m).isAtColdLimit(now)
}

// ColdMembers returns the number of members that have reported to be cold. Reports that
// have expired do not count.
func (b *Balancer) ColdMembers(now time.Duration) int {
	b.loads.mu.Lock()
	defer b.loads.mu.Unlock()
	n := 0
	for _, ml := range b.loads.byMember {
		if ml.validReport(now).IsCold {
			n++
		}
	}
	return n
}
