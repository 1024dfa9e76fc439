package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// shortMeanRequests and longMeanRequests are the numbers of answered requests over
	// which the two exponentially decayed means of a slotMeter reach.
	shortMeanRequests = 16
	longMeanRequests  = 96
	// minAnswers is the number of answered requests from which the service time is
	// known.
	minAnswers = 8
	// changeFactor is the ratio of the short to the long mean from which the
	// backend server has become slower or faster. Random service times stay below it.
	changeFactor = 1.75
	// reportStep is the relative change of the service time that is reported.
	reportStep = 1.125
	// maxBusyPerAnswer bounds the busy time between two responses, in service times.
	maxBusyPerAnswer = 8
	// rejectionDivisor is the part of the service time within which a response that
	// overtakes waiting requests is a rejection for certain.
	rejectionDivisor = 4
	// settlingAnswers is the number of answers after a change in which the long mean
	// follows the short one, as that still holds some requests from before.
	settlingAnswers = 2 * shortMeanRequests
	// maxMeteredGap bounds the time that passes between two events for a slotMeter: a
	// pause of this process proves nothing about the backend server.
	maxMeteredGap = 200 * time.Millisecond
)

// slotMeter estimates how long a request occupies a slot of its backend server: the
// time that slots were busy over the number of requests answered. Waiting for a slot
// adds nothing to it, and neither does idle time. It answers a load under which backend
// servers of different speed get their share of it each.
type slotMeter struct {
	slots     int
	updatedAt time.Duration
	// clock is the time that has passed without the pauses of this process.
	clock time.Duration
	// starts holds the clock's times at which the running requests began, ascending.
	starts              []time.Duration
	shortMean, longMean usage
	// answers counts the answered requests, up to minAnswers.
	answers int
	// settling counts down the answers after a change.
	settling int
	// usual is the long mean at the latest answer; 0 while it is unknown.
	usual time.Duration
	// latestServed is the latest beginning of a request that was answered, unless at
	// once while earlier ones waited.
	latestServed time.Duration
	// sinceAnswer is the busy time since the latest response, and stalled the time in
	// which requests waited since then.
	sinceAnswer, stalled time.Duration
	// reported is the service time as last reported.
	reported time.Duration
}

// usage is the exponentially decayed busy time of slots and number of requests answered.
type usage struct {
	busy    time.Duration
	answers float64
}

// record adds an answered request to a mean over about n of them.
func (u *usage) record(n float64) {
	keep := 1 - 1/n
	u.busy = time.Duration(float64(u.busy) * keep)
	u.answers = u.answers*keep + 1
}

func (u *usage) mean() time.Duration {
	return time.Duration(float64(u.busy) / max(u.answers, 1))
}

// reset forgets what was measured, and keeps the number of slots.
func (m *slotMeter) reset() {
	*m = slotMeter{slots: m.slots, updatedAt: m.updatedAt, clock: m.clock}
}

// advance accounts for the time since the previous event.
func (m *slotMeter) advance(now time.Duration) {
	gap := min(max(now-m.updatedAt, 0), maxMeteredGap)
	m.updatedAt = max(m.updatedAt, now)
	m.clock += gap
	if len(m.starts) == 0 {
		return
	}
	busy := gap * time.Duration(min(len(m.starts), max(m.slots, 1)))
	m.sinceAnswer += busy
	m.stalled += gap
}

// begin records a request and returns the time of its beginning by the clock.
func (m *slotMeter) begin(now time.Duration) time.Duration {
	m.advance(now)
	m.starts = append(m.starts, m.clock)
	return m.clock
}

// end records the end of the request that began at start, with a response or without.
func (m *slotMeter) end(now, start time.Duration, answered bool) {
	m.advance(now)
	earlier := m.remove(start)
	if !answered {
		return
	}
	m.recordBusy()
	isOvertaking := earlier >= max(m.slots, 1)
	if !isOvertaking || m.clock-start >= m.usualTime()/rejectionDivisor {
		m.latestServed = max(m.latestServed, start)
	}
	if isOvertaking {
		return // rejected: the slots hold earlier requests
	}
	m.shortMean.record(shortMeanRequests)
	m.longMean.record(longMeanRequests)
	m.answers = min(m.answers+1, minAnswers)
	m.adoptChange()
	if m.answers == minAnswers {
		m.usual = m.longMean.mean()
	}
}

// recordBusy adds the busy time since the latest response to the means. The most of a
// hang is left out, as it does not tell how fast the backend server is when it serves.
func (m *slotMeter) recordBusy() {
	busy := m.sinceAnswer
	if m.usual > 0 {
		busy = min(busy, maxBusyPerAnswer*m.usual)
	}
	m.shortMean.busy += busy
	m.longMean.busy += busy
	m.sinceAnswer, m.stalled = 0, 0
}

// remove removes the request that began at start and returns how many earlier ones run.
func (m *slotMeter) remove(start time.Duration) int {
	i, found := slices.BinarySearch(m.starts, start)
	if found {
		m.starts = slices.Delete(m.starts, i, i+1)
	}
	return i
}

// adoptChange replaces the long mean by the short one for a while once they differ
// too much for chance.
func (m *slotMeter) adoptChange() {
	if m.answers < minAnswers {
		return
	}
	ratio := float64(m.shortMean.mean()) / float64(max(m.longMean.mean(), 1))
	if ratio > changeFactor || ratio < 1/changeFactor {
		m.settling = settlingAnswers
	}
	if m.settling > 0 {
		m.settling--
		m.longMean = m.shortMean
	}
}

// serviceTime returns the service time to report; 0 while it is unknown. It changes in
// steps, so that random service times cause no reports.
func (m *slotMeter) serviceTime() time.Duration {
	if m.answers < minAnswers {
		return 0
	}
	mean := m.longMean.mean()
	ratio := float64(mean) / float64(max(m.reported, 1))
	if ratio >= reportStep || ratio <= 1/reportStep {
		m.reported = mean
	}
	return m.reported
}

// toMicroseconds returns d in whole microseconds within the range of a Load.
func toMicroseconds(d time.Duration) uint32 {
	return uint32(min(d.Microseconds(), math.MaxUint32))
}

// SetSlots records the number of requests that the backend server runs at a time.
func (a *Agent) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.slots = slots
}

// beginRequest records the first segment of a request.
func (a *Agent) beginRequest(now time.Duration, f *backendFlow) {
	if f.hasRequest {
		return
	}
	f.hasRequest, f.isOverdue = true, false
	f.requestStart = a.meter.begin(now)
}

// endRequest records the end of a flow's request, if it has one: with the first segment
// of a response, or without any.
func (a *Agent) endRequest(now time.Duration, f *backendFlow, answered bool) {
	if !f.hasRequest {
		return
	}
	f.hasRequest = false
	a.meter.end(now, f.requestStart, answered)
	if answered {
		a.fitness.recordAnswer(a.meter.clock)
	}
}
