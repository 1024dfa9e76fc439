package segment

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/routing"
)

const (
	// balancerActiveTime is how long after its last packet a balancer receives load
	// reports.
	balancerActiveTime = 5 * time.Second
	// reportInterval is the time between reports of an unchanged load.
	reportInterval = time.Second
	// maxReportsPerTick bounds the reports of one tick: 100 reports a second of 150
	// bytes are three quarters of the rate allowed to a daemon for control messages.
	maxReportsPerTick = 10
	// maxReportedBalancers is the number of balancers beyond which none receives load
	// reports: each report would expire at its balancer before the next one arrives.
	// Balancers then learn the load from the notification for each SYN.
	maxReportedBalancers = 300
)

// loadReporter tracks the balancers that have recently sent packets and the load
// last reported to each.
type loadReporter struct {
	mu     *sync.Mutex
	byAddr map[netip.AddrPort]*balancerRecord
}

// balancerRecord is the state of the load reports to one balancer.
type balancerRecord struct {
	addr       netip.AddrPort
	lastPacket time.Duration
	// lastReport is the time of the last report, or neverReported.
	lastReport   time.Duration
	reportedLoad routing.Load
}

// neverReported sorts before every time, so that balancers without a report come
// first.
const neverReported = time.Duration(-1)

func newLoadReporter() loadReporter {
	return loadReporter{mu: &sync.Mutex{}, byAddr: make(map[netip.AddrPort]*balancerRecord)}
}

func (b *loadReporter) recordPacket(now time.Duration, balancer netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := b.byAddr[balancer]
	if record == nil {
		record = &balancerRecord{addr: balancer, lastReport: neverReported}
		b.byAddr[balancer] = record
	}
	record.lastPacket = now
}

// takeDue returns the balancers to which load is to be reported now, the one with the
// oldest report first, and records them as reported.
func (b *loadReporter) takeDue(now time.Duration, load routing.Load) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*balancerRecord
	for balancer, r := range b.byAddr {
		switch {
		case now-r.lastPacket > balancerActiveTime:
			delete(b.byAddr, balancer)
		case r.lastReport == neverReported || r.reportedLoad != load || now-r.lastReport >= reportInterval:
			due = append(due, r)
		}
	}
	if len(b.byAddr) > maxReportedBalancers {
		return nil
	}
	slices.SortFunc(due, func(a, b *balancerRecord) int {
		return cmp.Or(cmp.Compare(a.lastReport, b.lastReport), a.addr.Compare(b.addr))
	})
	var out []netip.AddrPort
	for _, r := range due[:min(len(due), maxReportsPerTick)] {
		r.lastReport, r.reportedLoad = now, load
		out = append(out, r.addr)
	}
	return out
}
