package routing

import (
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

const (
	// minCallerFlows is the number of new flows a second at one balancer up to which no
	// caller is above its share.
	minCallerFlows = 4
	// A listener is flooded from floodPercent as many asked as placed flows on, in percent,
	// and minFloodFlows more, in the last shareWindow.
	floodPercent  = 150
	minFloodFlows = 4
	// callerCountsTTL is how long callers are counted after room was short.
	callerCountsTTL = 10 * time.Second
)

// shareTable holds how much of each service its listeners and callers use: the new flows
// that this balancer has placed in the last shareWindow. Callers reach all balancers
// alike, so each keeps the shares of what it places without asking the others.
type shareTable struct {
	mu        sync.Mutex
	byService map[view.ServiceID]*serviceUse
}

type serviceUse struct {
	placed     windowCount
	byListener map[netip.AddrPort]*listenerUse
	// inUse is the number of listeners that were asked for in the last shareWindow, as
	// counted in a period, see windowPeriod.
	inUse     uint64
	countedIn int64
	// callers counts the new flows of callers. It is nil unless room was short within
	// callerCountsTTL before shortAt.
	callers *callerCounts
	shortAt time.Duration
}

// listenerUse are the new flows of one listener.
type listenerUse struct{ asked, placed windowCount }

func newShareTable() *shareTable { return &shareTable{byService: make(map[view.ServiceID]*serviceUse)} }

func (s *shareTable) useOf(service view.ServiceID, listener netip.AddrPort) (*serviceUse, *listenerUse) {
	use := s.byService[service]
	if use == nil {
		use = &serviceUse{byListener: make(map[netip.AddrPort]*listenerUse)}
		s.byService[service] = use
	}
	own := use.byListener[listener]
	if own == nil {
		own = &listenerUse{}
		use.byListener[listener] = own
	}
	return use, own
}

// recordPlaced records that a flow was placed on a member of the service.
func (s *shareTable) recordPlaced(now time.Duration, service view.ServiceID, t flow.Tuple) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, own := s.useOf(service, t.Service)
	use.placed.add(now)
	own.placed.add(now)
	if use.callers != nil {
		use.callers.add(now, t.Caller.Addr())
	}
}

// ask records that a caller asks for a new flow, and whether room is short, and returns
// what the flow may claim.
//
// Shares of listeners answer a flood of one listener's callers, whether they are the most
// or the least urgent: idle shares are usable by all, and a listener below its share is
// placed where the flood no longer is. Shares of callers answer a caller that opens so
// many flows that others of the same listener find no room. Whether a listener is
// flooded tells a flood from a crest, in which all callers can still be served.
func (s *shareTable) ask(now time.Duration, ws WeightedService, t flow.Tuple, isShort bool) claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, own := s.useOf(ws.Service, t.Service)
	isNew := own.asked.value(now) == 0
	own.asked.add(now)
	if ws.Contention.ReservedShare > 0 {
		use.countListeners(now, isNew)
	}
	use.countCallers(now, isShort && ws.Contention.CallerShare > 0)
	return claim{
		isBelowShare:       use.isBelowShare(now, own, ws.Contention),
		isAboveCallerShare: isShort && use.isAboveCallerShare(now, t.Caller.Addr(), ws.Contention),
		isFlooded:          own.asked.value(now)*100 > floodPercent*own.placed.value(now)+100*minFloodFlows,
	}
}

// claim is what a new flow may claim.
type claim struct {
	// isBelowShare is set if the listener uses at most its share, isAboveCallerShare if
	// the caller uses more than one caller may while room is short.
	isBelowShare, isAboveCallerShare bool
	// isFlooded is set if far more flows of the listener are asked for than placed.
	isFlooded bool
}

// isBelowShare reports whether a listener uses at most its equal part of what is reserved.
func (u *serviceUse) isBelowShare(now time.Duration, own *listenerUse, c Contention) bool {
	if c.ReservedShare == 0 {
		return false
	}
	reserved := uint64(u.placed.value(now)) * uint64(c.ReservedShare)
	return u.inUse > 1 && uint64(own.placed.value(now))*100*u.inUse <= reserved
}

// countListeners counts the listeners in use. That one is not in use any more is seen
// with the next period, as its counts are, so that it takes one pass of all in a period.
func (u *serviceUse) countListeners(now time.Duration, isNew bool) {
	switch period := windowPeriod(now); {
	case period > u.countedIn:
		u.inUse, u.countedIn = 0, period
		for _, l := range u.byListener {
			if l.asked.value(now) > 0 {
				u.inUse++
			}
		}
	case isNew:
		u.inUse++
	}
}

// isAboveCallerShare reports whether a caller uses more than one caller may.
func (u *serviceUse) isAboveCallerShare(now time.Duration, caller netip.Addr, c Contention) bool {
	if u.callers == nil || c.CallerShare == 0 {
		return false
	}
	flows := u.callers.value(now, caller)
	return flows > minCallerFlows && uint64(flows)*100 > uint64(u.placed.value(now))*uint64(c.CallerShare)
}

// countCallers starts to count callers if room is short, and ends it once it was not for
// callerCountsTTL.
func (u *serviceUse) countCallers(now time.Duration, isShort bool) {
	switch {
	case isShort && u.callers == nil:
		u.callers, u.shortAt = &callerCounts{}, now
	case isShort:
		u.shortAt = now
	case now-u.shortAt > callerCountsTTL:
		u.callers = nil
	}
}

// prune deletes the uses of services and listeners that t does not route.
func (s *shareTable) prune(t *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, use := range s.byService {
		for listener := range use.byListener {
			if !t.HasRoute(listener) {
				delete(use.byListener, listener)
				use.countedIn = -1 // counts them anew
			}
		}
		if len(use.byListener) == 0 {
			delete(s.byService, service)
		}
	}
}
