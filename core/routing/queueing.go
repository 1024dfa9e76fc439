package routing

import (
	"time"

	"fulmarmount.org/core/view"
)

// queueCost is the load of a request that waits for a slot, in thousandths of a running
// request. It outweighs 4,000 open flows.
const queueCost = 1_000_000

// running returns the number of running and waiting requests of a member, by its latest
// report and what was placed on it since.
func (ml *memberLoad) running(now time.Duration) int {
	return int(ml.validReport(now).RunningRequests) + ml.recentPlacements(now)
}

// queueLoad returns the load of the waiting requests per slot at full weight. It answers
// the return of a zone, and members that join: they hold no open flows, so that without it
// new flows would queue there until their number makes up for the open flows of others.
func (ml *memberLoad) queueLoad(now time.Duration, m *member) uint64 {
	waiting := uint64(max(ml.running(now)-int(m.slots), 0))
	return waiting * queueCost * view.FullWeight / (uint64(m.slots) * uint64(max(m.weight, 1)))
}
