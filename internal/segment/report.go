package segment

import (
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/core/steer"
)

const (
	// activeTime is how long a balancer is told about the load after its last
	// packet.
	activeTime = 5 * time.Second
	// reportEvery is the time between reports of an unchanged load.
	reportEvery = time.Second
)

// balancers are those that have sent packets lately, and what they were told.
type balancers struct {
	mu       *sync.Mutex
	last     map[netip.AddrPort]time.Duration
	reported steer.Load
	at       time.Duration
}

func newBalancers() balancers {
	return balancers{mu: &sync.Mutex{}, last: make(map[netip.AddrPort]time.Duration)}
}

func (b *balancers) heard(now time.Duration, balancer netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last[balancer] = now
}

// due reports whether a load is to be told, and notes it as told.
func (b *balancers) due(now time.Duration, load steer.Load) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if load == b.reported && now-b.at < reportEvery {
		return false
	}
	b.reported, b.at = load, now
	return true
}

// active returns the balancers to tell and forgets the others.
func (b *balancers) active(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []netip.AddrPort
	for balancer, at := range b.last {
		if now-at > activeTime {
			delete(b.last, balancer)
			continue
		}
		out = append(out, balancer)
	}
	return out
}
