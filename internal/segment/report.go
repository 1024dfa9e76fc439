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
	// activeTime is how long a balancer is told about the load after its last
	// packet.
	activeTime = 5 * time.Second
	// reportEvery is the time between reports of an unchanged load.
	reportEvery = time.Second
	// reportsPerTick bounds the reports of one tick: 100 a second of 150 bytes are
	// three quarters of what a daemon may send for control.
	reportsPerTick = 10
	// maxTold is the number of balancers beyond which none is told: a report would
	// be older than balancers let it hold when the next one comes. They hear of the
	// load with the answer to each SYN.
	maxTold = 300
)

// balancers are those that have sent packets lately, and what they were told.
type balancers struct {
	mu   *sync.Mutex
	last map[netip.AddrPort]*report
}

// report is what one balancer was told.
type report struct {
	addr  netip.AddrPort
	heard time.Duration
	// at is when it was told, untold before that.
	at   time.Duration
	load routing.Load
}

// untold is before every time, so that who was never told comes first.
const untold = time.Duration(-1)

func newBalancers() balancers {
	return balancers{mu: &sync.Mutex{}, last: make(map[netip.AddrPort]*report)}
}

func (b *balancers) heard(now time.Duration, balancer netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.last[balancer]
	if known == nil {
		known = &report{addr: balancer, at: untold}
		b.last[balancer] = known
	}
	known.heard = now
}

// due returns the balancers to tell a load now, those first that were told longest
// ago, and notes them as told.
func (b *balancers) due(now time.Duration, load routing.Load) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []*report
	for balancer, r := range b.last {
		switch {
		case now-r.heard > activeTime:
			delete(b.last, balancer)
		case r.at == untold || r.load != load || now-r.at >= reportEvery:
			due = append(due, r)
		}
	}
	if len(b.last) > maxTold {
		return nil
	}
	slices.SortFunc(due, func(a, b *report) int { return cmp.Or(cmp.Compare(a.at, b.at), a.addr.Compare(b.addr)) })
	var out []netip.AddrPort
	for _, r := range due[:min(len(due), reportsPerTick)] {
		r.at, r.load = now, load
		out = append(out, r.addr)
	}
	return out
}
