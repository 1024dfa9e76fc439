package routing

import (
	"cmp"
	"time"
)

// assumedServiceTime is the time in which a member is assumed to finish a request while
// it reports none.
const assumedServiceTime = 50 * time.Millisecond

// synSchedule holds the times at which callers send the copies of a SYN, from the first.
var synSchedule = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// sinceFirstSYN returns how long ago a caller has sent the flow's first SYN, by the
// number of retransmissions.
func sinceFirstSYN(retransmits uint32) time.Duration {
	return synSchedule[min(int(retransmits), len(synSchedule)-1)]
}

// room is what a new flow would meet at a member.
type room struct {
	member *member
	// load is the estimated number of running and queued requests per slot, in tenths,
	// reportedLoad the one without what has finished since the report.
	load, reportedLoad int
	// response is the time until the flow's first response, 0 if it is unknown.
	response  time.Duration
	reportAge time.Duration
}

// rooms returns the room at each candidate that is not avoided or is due for a trial, or
// at all of them if there is none. It answers the load under which some members are full
// and others not: whether any member of the service has room says nothing about the
// candidates of one flow. An unfit member looks idle once its callers have given up.
func (l *loadTracker) rooms(now time.Duration, candidates []*member) []room {
	l.mu.Lock()
	defer l.mu.Unlock()
	var trusted, avoided []room
	for _, m := range candidates {
		ml := l.loadOf(m)
		if l.avoids(now, m, ml) && !l.isTrialDue(now, m, ml) {
			avoided = append(avoided, ml.room(now, m))
			continue
		}
		trusted = append(trusted, ml.room(now, m))
	}
	if len(trusted) == 0 {
		return avoided
	}
	return trusted
}

// room returns what one more request would meet at a member: the requests in its report
// that it has not finished since, and those placed since, wait for the slots, each for
// the reported service time. At most half of a report is assumed to have finished, as a
// member may also have stopped.
//
// It answers the load under which reports are older than the requests in them: a member
// that was full when it reported is empty again long before its next report, and would
// get nothing until then. If it is still full, its answer to the next flow tells so.
func (ml *memberLoad) room(now time.Duration, m *member) room {
	report, slots, age := ml.validReport(now), int(m.slots), now-ml.reportedAt
	serviceTime := time.Duration(report.ServiceTime) * time.Microsecond
	finished := int(min(age, reportTTL) * time.Duration(slots) / cmp.Or(serviceTime, assumedServiceTime))
	placed, reported := ml.recentPlacements(now), int(report.RunningRequests)
	requests := reported - min(finished, reported/2) + placed
	waiting := max(requests+1-slots, 0)
	return room{
		member: m, load: requests * 10 / slots, reportedLoad: (reported + placed) * 10 / slots, reportAge: age,
		response: serviceTime + serviceTime*time.Duration(waiting)/time.Duration(slots),
	}
}
