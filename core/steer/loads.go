package steer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/core/view"
)

// Load is what a host reports of its backend server.
type Load struct {
	// Flows is the number of open flows.
	Flows uint32 `cbor:"1,keyasint"`
	// RunningRequests is the number of requests that wait for their answer.
	RunningRequests uint32 `cbor:"2,keyasint"`
}

const (
	// suspicionTime is how long a member gets no new flows after it has left a
	// SYN unanswered.
	suspicionTime = 1 * time.Second
	// flowCost is the load of an open flow without a running request, in
	// thousandths of a running request.
	flowCost = 250
	// requestCost is the load of a running request in the same unit.
	requestCost = 1000
	// placedTime is how long a flow that was just placed counts beside the
	// reports, which may not have it yet.
	placedTime = 100 * time.Millisecond
	// reportTime is how long a report holds. Agents tell an unchanged load more
	// often to whoever sends them packets.
	reportTime = 3 * time.Second
	// zoneGain is the load in thousandths of a request a slot that a way within
	// the zone is worth.
	zoneGain = 150
	// fullAt is the number of requests in tenths of a slot with which a member is
	// full for a first SYN: those beyond the slots wait, for as long as a request
	// takes or little more.
	fullAt = 22
	// copyFullAt is the same for the copies of a SYN: they get free slots alone.
	copyFullAt = 10
)

// loads holds the newest report of each member and what was placed since.
type loads struct {
	mu   sync.Mutex
	byID map[loadKey]*memberLoad
}

type loadKey struct {
	service view.ServiceID
	seed    uint64
}

type memberLoad struct {
	report    Load
	at        time.Duration
	placed    []time.Duration
	suspected time.Duration // until when
	// silent is set where the member has left a question unanswered.
	silent bool
}

func newLoads() *loads { return &loads{byID: make(map[loadKey]*memberLoad)} }

func (l *loads) of(m *member) *memberLoad {
	key := loadKey{m.service, m.peer.Seed}
	found := l.byID[key]
	if found == nil {
		found = &memberLoad{}
		l.byID[key] = found
	}
	return found
}

// report takes a report. The member has answered, so it is not suspected.
func (l *loads) report(now time.Duration, m *member, load Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.of(m)
	found.report, found.at, found.suspected, found.silent = load, now, 0, false
}

// suspect keeps new flows from a member for a while.
func (l *loads) suspect(now time.Duration, m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(m).suspected = now + suspicionTime
}

// unanswered notes that a member has not answered a question.
func (l *loads) unanswered(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(m).silent = true
}

// answered notes that a member was heard.
func (l *loads) answered(service view.ServiceID, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.byID[loadKey{service, seed}]; found != nil {
		found.silent = false
	}
}

// held notes that a member was heard and has a flow that was placed: its reports
// count the flow from now on.
func (l *loads) held(service view.ServiceID, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.byID[loadKey{service, seed}]
	if found == nil {
		return
	}
	found.silent = false
	if len(found.placed) > 0 {
		found.placed = found.placed[1:]
	}
}

// silentLast moves members that are silent, gone or have left behind the others.
func (l *loads) silentLast(holders []*member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := func(m *member) int {
		found := l.byID[loadKey{m.service, m.peer.Seed}]
		if m.gone || m.left > 0 || found != nil && found.silent {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(holders, func(a, b *member) int { return cmp.Compare(rank(a), rank(b)) })
}

// keep forgets the members that are in no table any more.
func (l *loads) keep(t *Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.byID {
		if t.find(key.service, key.seed) == nil {
			delete(l.byID, key)
		}
	}
}

// choose returns the member with the least load among candidates, which take new
// flows, that is not suspected, and notes that a flow is placed there. Where all are
// suspected, it is the first. A member of the balancer's own zone is taken to have
// zoneGain less load.
func (l *loads) choose(now time.Duration, candidates []*member, zone string) *member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best, spare *member
	var least uint64
	for _, m := range candidates {
		if spare == nil {
			spare = m
		}
		found := l.of(m)
		if found.suspected > now {
			continue
		}
		load := found.cost(now, m)
		if m.zone != zone {
			load += zoneGain
		}
		if best == nil || load < least {
			best, least = m, load
		}
	}
	if best == nil {
		best = spare
	}
	if best != nil {
		found := l.of(best)
		found.placed = append(found.placed, now)
	}
	return best
}

// full reports whether every member that takes new flows has as many requests as it
// should for a SYN that is the copy of so many.
func (l *loads) full(now time.Duration, members []member, copies uint32) bool {
	limit := fullAt
	if copies > 0 {
		limit = copyFullAt
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	taking := false
	for i := range members {
		m := &members[i]
		if !m.takes {
			continue
		}
		taking = true
		found := l.of(m)
		if (int(found.newest(now).RunningRequests)+found.recent(now))*10 < int(m.slots)*limit {
			return false
		}
	}
	return taking
}

// newest returns the report that holds, or none.
func (f *memberLoad) newest(now time.Duration) Load {
	if now-f.at > reportTime {
		return Load{}
	}
	return f.report
}

// recent returns the number of flows that were placed since the report.
func (f *memberLoad) recent(now time.Duration) int {
	recent := 0
	for i, at := range f.placed {
		if now-at <= placedTime {
			recent = len(f.placed) - i
			break
		}
	}
	f.placed = f.placed[len(f.placed)-recent:]
	return recent
}

// cost returns the load of one slot at full weight, in thousandths of a request.
func (f *memberLoad) cost(now time.Duration, m *member) uint64 {
	report := f.newest(now)
	total := uint64(report.Flows)*flowCost + (uint64(report.RunningRequests)+uint64(f.recent(now)))*requestCost
	return total * view.FullWeight / (uint64(m.slots) * uint64(max(m.weight, 1)))
}
