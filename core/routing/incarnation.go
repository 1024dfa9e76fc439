package routing

import (
	"math"
	"time"

	"fulmarmount.org/core/view"
)

const (
	// StartUnknown is the earliest start of an incarnation of which nothing is known.
	StartUnknown = time.Duration(math.MinInt64 / 2)
	// never is before every time.
	never = time.Duration(math.MinInt64)
	// startMargin is how long before its reported start an incarnation may have accepted
	// its first flow: a server opens its socket and notes its start in either order.
	startMargin = 100 * time.Millisecond
	// maxStartLead is how long before this process an incarnation may have started that
	// has started with it.
	maxStartLead = 100 * time.Millisecond
)

// PastUse tells whether flows can have been opened at an incarnation without the agent's
// knowledge.
type PastUse uint8

// The past uses of an incarnation.
const (
	UsePossible PastUse = iota
	// UseBeforeProcess means that the incarnation has started with this process: flows can
	// only have come from an earlier process of the agent, which then ended within
	// maxStartLead.
	UseBeforeProcess
	UseNone
)

var pastUseNames = [...]string{"possible", "before_process", "none"}

// String returns the name of the past use in logs.
func (u PastUse) String() string { return pastUseNames[u] }

// StartIncarnation records a new incarnation of the backend server, which has started at
// earliest or later.
//
// The backend server accepts flows from its start on, and the agent learns of the start
// only by a later report. Until then it delivers SYNs that were meant for the incarnation
// before. So the flows that it has seen since earliest may be open at the new one, and
// their segments are delivered; the older ones are lost. Flows that an earlier process of
// the agent has delivered are unknown here, unless the incarnation is younger than this
// process.
func (a *Agent) StartIncarnation(incarnation view.Incarnation, earliest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = incarnation
	a.meter.reset()
	a.fitness.reset()
	a.runningRequests = 0
	clear(a.probes)
	a.dropFlowsBefore(earliest - startMargin)
	a.hasAllFlows = earliest >= a.startedAt
	a.startedWithProcess = !a.hasAllFlows && earliest >= a.startedAt-maxStartLead
	a.pastUse = UsePossible
	switch {
	case a.lastSYN >= earliest-startMargin:
	case a.hasAllFlows:
		a.pastUse = UseNone
	case a.startedWithProcess:
		a.pastUse = UseBeforeProcess
	}
}

// Renumber records that the present incarnation is known by a later number. The clock that
// its start was told by has stepped back, so nothing is known of its past.
func (a *Agent) Renumber(incarnation view.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = incarnation
	a.hasAllFlows, a.startedWithProcess, a.pastUse = false, false, UsePossible
}

// PastUse returns the past use of the incarnation until the first SYN is delivered to it,
// and UsePossible from then on.
func (a *Agent) PastUse() PastUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pastUse
}

// AnswersQueries reports whether the agent has a record of every flow of the backend server,
// or can have one by the restart of the whole fleet.
func (a *Agent) AnswersQueries() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasAllFlows || a.startedWithProcess
}

// dropFlowsBefore drops the flows that were last shown before a time. The others may be
// of the present incarnation or lost, which is shown by their next segment. The caller
// holds the lock and has reset the counts of running requests.
func (a *Agent) dropFlowsBefore(earliest time.Duration) {
	for id, f := range a.flows {
		if f.shownAt < earliest {
			delete(a.flows, id)
			continue
		}
		f.isRunning, f.hasRequest, f.isOverdue, f.isEstablished = false, false, false, false
	}
}
