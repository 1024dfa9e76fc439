package segment

import (
	"slices"
	"time"
)

const (
	// maxEndedStarts is the number of ended starts whose late reports are told from those of
	// a new start.
	maxEndedStarts = 8
	// minReturnTime is how long a start must go on to report before it replaces one that
	// tells a later time: reports that were held up arrive together.
	minReturnTime = 500 * time.Millisecond
)

// startOrder tells which start of the backend server a report is of. Each start tells when
// it was, by a clock that may have stepped back meanwhile. So a start that tells an earlier
// time may be the newer one. What shows it is that it goes on to report while the other
// one is silent; reports of an ended start are late and end. It is not safe for concurrent
// use. Times are since the start of the process.
type startOrder struct {
	current uint64 // 0 before the first report
	heardAt time.Duration
	ended   []uint64 // oldest first

	// candidate is another start that may have replaced the current one, first heard at
	// candidateSince and last with candidateSequence; 0 for none.
	candidate         uint64
	candidateSequence uint64
	candidateSince    time.Duration
}

// reportOrder is how a report relates to the current start.
type reportOrder int

const (
	ofCurrentStart reportOrder = iota
	ofNewStart
	// ofReturnedStart is of a new start too, but the time that it tells is not later, so
	// nothing follows from that time.
	ofReturnedStart
	ofEarlierStart
)

// classify returns how a report of a start relates to the current start.
func (o *startOrder) classify(now time.Duration, start, sequence uint64) reportOrder {
	switch {
	case start == o.current:
		return ofCurrentStart
	case start > o.current && !slices.Contains(o.ended, start):
		return ofNewStart
	case start != o.candidate || sequence <= o.candidateSequence:
		o.candidate, o.candidateSequence, o.candidateSince = start, sequence, now
		return ofEarlierStart
	}
	o.candidateSequence = sequence
	if now-o.heardAt <= reportFlightTime || now-o.candidateSince < minReturnTime {
		return ofEarlierStart
	}
	return ofReturnedStart
}

// accept records that a report of a start was applied.
func (o *startOrder) accept(now time.Duration, start uint64) {
	if start != o.current && o.current != 0 {
		o.ended = append(o.ended, o.current)
		o.ended = o.ended[max(0, len(o.ended)-maxEndedStarts):]
	}
	o.ended = slices.DeleteFunc(o.ended, func(ended uint64) bool { return ended == start })
	o.current, o.heardAt, o.candidate = start, now, 0
}
