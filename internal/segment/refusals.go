package segment

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
)

const (
	// maxRefusalLines bounds the lines a second about refused flows: a flood must not
	// fill the logs that explain it.
	maxRefusalLines = 20
	// maxRefusalListeners bounds the listeners that refusals are counted for.
	maxRefusalListeners = 4096
)

// refusalLog counts and logs the SYNs that were refused for want of room.
type refusalLog struct {
	mu         sync.Mutex
	byListener map[netip.AddrPort]map[routing.Reason]uint64
	second     time.Duration // the start of the second that lines are counted in
	lines      int
	skipped    int // refusals of that second without a line
}

func newRefusalLog() *refusalLog {
	return &refusalLog{byListener: make(map[netip.AddrPort]map[routing.Reason]uint64)}
}

// record counts a refusal, and logs it with what it was decided by.
func (r *refusalLog) record(now time.Duration, log *zap.Logger, s *routing.Segment, d routing.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(s.Tuple.Service, d.Reason)
	if second := now.Truncate(time.Second); second != r.second {
		if r.skipped > 0 {
			log.Info("Refused more flows without a line for each.", zap.Int("flows", r.skipped))
		}
		r.second, r.lines, r.skipped = second, 0, 0
	}
	if r.lines == maxRefusalLines {
		r.skipped++
		return
	}
	r.lines++
	log.Info(decisionMessages[d.Verdict],
		zap.Stringer("caller", s.Tuple.Caller), zap.Stringer("address", s.Tuple.Service),
		zap.Bool("opens", true), zap.Uint32("seq", s.Seq), zap.Uint32("copy", s.Retransmits), zap.Stringer("reason", d.Reason),
		zap.Float64("requests_per_slot", float64(d.Refused.Load)/10), zap.Duration("response", d.Refused.Response),
		zap.Duration("report_age", d.Refused.ReportAge), zap.Duration("waited", d.Refused.Elapsed), zap.Bool("below_share", d.Refused.BelowShare))
}

func (r *refusalLog) count(listener netip.AddrPort, reason routing.Reason) {
	byReason := r.byListener[listener]
	if byReason == nil {
		if len(r.byListener) >= maxRefusalListeners {
			clear(r.byListener) // listeners that are no longer routed would keep their place
		}
		byReason = make(map[routing.Reason]uint64)
		r.byListener[listener] = byReason
	}
	byReason[reason]++
}

// counts returns the numbers of refusals by listener and reason.
func (r *refusalLog) counts() map[string]map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]map[string]uint64, len(r.byListener))
	for listener, byReason := range r.byListener {
		named := make(map[string]uint64, len(byReason))
		for reason, n := range byReason {
			named[reason.String()] = n
		}
		out[listener.String()] = named
	}
	return out
}
