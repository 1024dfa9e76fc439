package routing

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// MemberGauge is what a balancer knows of one member and how it places flows on it.
type MemberGauge struct {
	Service view.ServiceID `json:"service"`
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	// Age is the age of the latest load report; Load is that report.
	Age  time.Duration `json:"age"`
	Load Load          `json:"load"`
	// Pace is the time that a request occupies a slot in thousandths of the median of
	// the service, as used in placing.
	Pace uint64 `json:"pace"`
	// IsAvoided is set if new flows avoid the member.
	IsAvoided bool `json:"avoided"`
}

// MemberGauges returns a gauge for each listed member that has reported its load, in the
// order of services and IDs.
func (b *Balancer) MemberGauges(now time.Duration) []MemberGauge {
	var out []MemberGauge
	b.loads.mu.Lock()
	defer b.loads.mu.Unlock()
	for _, members := range b.Table().members {
		for i := range members {
			m := &members[i]
			ml := b.loads.byMember[memberKey{m.service, m.peer.Seed}]
			if ml == nil || ml.reportedAt == 0 || m.removedAt > 0 {
				continue
			}
			out = append(out, MemberGauge{
				Service: m.service, ID: m.id, Zone: m.zone, Age: now - ml.reportedAt, Load: ml.report,
				Pace: b.loads.paceOf(now, m, ml), IsAvoided: b.loads.avoids(now, m, ml),
			})
		}
	}
	slices.SortFunc(out, func(a, b MemberGauge) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}
