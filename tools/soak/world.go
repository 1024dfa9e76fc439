package main

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The bounds of the checks, several times wider than the promises. world.slack widens
// them further; a check that no run may fail, however slow the machine, has no bound.
const (
	drainBound      = 5 * time.Second  // from the acknowledged report to the last new flow
	evacuationBound = 10 * time.Second // from an acknowledged order
	documentBound   = 10 * time.Second // from an acknowledged document
	// contactWindow is how long after a backend server's silence a reset may follow from it.
	contactWindow = 8 * time.Second
	// recoveryBound bounds the return of service after the last fault.
	recoveryBound = 60 * time.Second
	// stallLimit is how late this program's own timer may be. A later one shows that the
	// machine stood still, which counts as a fault of every process.
	stallLimit = time.Second
)

// violation is a broken promise.
type violation struct {
	at            time.Duration
	promise, what string
}

func (v violation) String() string {
	return fmt.Sprintf("%.2fs: %s: %s", v.at.Seconds(), v.promise, v.what)
}

// disturbance is the state of faults of one process or backend server.
type disturbance struct {
	open int
	last time.Time // when the last fault ended
}

// flowRecord is what callers and backend servers know about a flow.
type flowRecord struct {
	balancers   []string // that took its packets
	owner       *server  // nil until the backend server had the end of the handshake
	incarnation int
	openedAt    time.Time
	ended       bool
}

// order is the state of the orders about one zone.
type order struct {
	ordered   bool      // the newest order is an evacuation
	ackedAt   time.Time // of the newest order; zero if it is not acknowledged yet
	inForceAt time.Time // zero if it may not be in force yet
}

// document is a version of the operators' document.
type document struct {
	number         uint64
	body           string
	services       map[netip.AddrPort][]string
	sent           time.Time
	acked, inForce time.Time // zero if not yet
}

// world holds what callers, backend servers and operators have seen, and judges it.
type world struct {
	slack float64
	start time.Time
	// limitsCold is set if the fleet is told a limit for cold backend servers.
	limitsCold bool

	mu          sync.Mutex
	violations  []violation
	disturbed   map[string]*disturbance
	unstable    time.Time // when control had no undisturbed majority the last time
	runs        map[string]string
	flows       map[tuple]*flowRecord
	documents   []*document
	orders      map[string]*order
	counts      map[string]int
	samples     []sample
	faultRecord []faultRecord
}

func newWorld(slack float64) *world {
	return &world{
		slack: slack, start: time.Now(), disturbed: map[string]*disturbance{}, runs: map[string]string{},
		flows: map[tuple]*flowRecord{}, orders: map[string]*order{}, counts: map[string]int{},
	}
}

func (w *world) bound(d time.Duration) time.Duration { return time.Duration(float64(d) * w.slack) }

// fail records a broken promise; call it with w.mu held.
func (w *world) fail(promise, format string, args ...any) {
	w.violations = append(w.violations, violation{at: time.Since(w.start), promise: promise, what: fmt.Sprintf(format, args...)})
}

func (w *world) report(promise, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail(promise, format, args...)
}

func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// disturb records the beginning of a fault. The returned function records its end.
func (w *world) disturb(name string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.disturbed[name]
	if d == nil {
		d = &disturbance{}
		w.disturbed[name] = d
	}
	d.open++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		d.open--
		d.last = time.Now()
	}
}

// calmFor returns how long a process or backend server has had no fault.
func (w *world) calmFor(name string) time.Duration {
	d := w.disturbed[name]
	switch {
	case d == nil:
		return time.Since(w.start)
	case d.open > 0:
		return 0
	}
	return time.Since(d.last)
}

// allCalm reports whether all of names have had no fault for a bound.
func (w *world) allCalm(bound time.Duration, names ...string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return w.calmFor(name) <= bound })
}

// watch advances what passes with time, until done is closed.
func (w *world) watch(done <-chan struct{}) {
	const interval = 50 * time.Millisecond
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		if time.Since(last) > stallLimit {
			w.recordStall()
		}
		last = time.Now()
		w.advance()
	}
}

func (w *world) recordStall() {
	w.count("stalls of the machine")
	names := []string{}
	for i := range max(controlCount, balancerCount, agentCount) {
		names = append(names, fmt.Sprint("control-", i), fmt.Sprint("balancer-", i), fmt.Sprint("agent-", i), fmt.Sprint("server-", i))
	}
	for _, name := range names {
		w.disturb(name)()
	}
}

func (w *world) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, running := time.Now(), 0
	for i := range controlCount {
		if d := w.disturbed[fmt.Sprint("control-", i)]; d == nil || d.open == 0 {
			running++
		}
	}
	if running <= controlCount/2 {
		w.unstable = now
	}
	inForce := func(acked time.Time, bound time.Duration) bool {
		return !acked.IsZero() && now.Sub(acked) > w.bound(bound) && now.Sub(w.unstable) > w.bound(bound)
	}
	for _, d := range w.documents {
		if d.inForce.IsZero() && inForce(d.acked, documentBound) {
			d.inForce = now
		}
	}
	for _, o := range w.orders {
		if o.ordered && o.inForceAt.IsZero() && inForce(o.ackedAt, evacuationBound) {
			o.inForceAt = now
			w.counts["evacuations in force"]++
		}
	}
}

// flow returns the record of a flow; call it with w.mu held.
func (w *world) flow(t tuple) *flowRecord {
	r := w.flows[t]
	if r == nil {
		r = &flowRecord{}
		w.flows[t] = r
	}
	return r
}

// sent records which balancer takes a caller's packet.
func (w *world) sent(t tuple, balancer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.flow(t); !slices.Contains(r.balancers, balancer) {
		r.balancers = append(r.balancers, balancer)
	}
}

// tookSYN judges a new flow at a backend server.
func (w *world) tookSYN(s *server, t tuple, drainAcked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["new flows at backend servers"]++
	path := append([]string{s.agent}, w.flow(t).balancers...)
	base := uint64(0)
	for _, d := range w.documents {
		if !d.inForce.IsZero() && w.allCalm(w.bound(documentBound), path...) {
			base = max(base, d.number)
		}
	}
	allowed := slices.ContainsFunc(w.documents, func(d *document) bool {
		return d.number >= base && slices.Contains(d.services[t.service], s.service)
	})
	if !allowed {
		w.fail("no request runs at a wrong service", "%s of %s took a flow to %s (documents from %d on)", s.name, s.service, t.service, base)
	}
	if !drainAcked.IsZero() {
		w.counts["new flows at draining backend servers"]++
		if late := time.Since(drainAcked); late > w.bound(drainBound) {
			w.fail("a draining backend server gets no new flow", "%s took a flow from %s %.1f s after its report was acknowledged", s.name, t.caller, late.Seconds())
		}
	}
	o := w.orders[s.zone]
	if o == nil || !o.ordered {
		return
	}
	w.counts["new flows in zones being evacuated"]++
	if !o.inForceAt.IsZero() && w.allCalm(w.bound(evacuationBound), path...) {
		w.fail("an evacuated zone gets no new flow", "%s took a flow from %s %.1f s after the order was acknowledged", s.name, t.caller, time.Since(o.ackedAt).Seconds())
	}
}

// tookCold judges the number of new flows of a backend server since its start, at an
// age. The count over the whole time does not depend on when packets arrive.
func (w *world) tookCold(s *server, flows int, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limitsCold || age > coldTime || !w.allCalm(age, s.agent) {
		return
	}
	w.counts["new flows at cold backend servers"]++
	if most := coldFlowLimit * (int(coldTime.Seconds()) + 2); flows > most {
		w.fail("a cold backend server gets few new flows", "%s took %d in its first %.1f s, where %d are at most %d seconds' worth", s.name, flows, age.Seconds(), most, most/coldFlowLimit)
	}
}

// opened records that a backend server has the end of a flow's handshake.
func (w *world) opened(s *server, t tuple, incarnation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["flows"]++
	r := w.flow(t)
	if r.owner != nil {
		w.fail("a flow has one backend server", "%s and %s both opened the flow from %s", r.owner.name, s.name, t.caller)
	}
	r.owner, r.incarnation, r.openedAt = s, incarnation, time.Now()
}

// ended records that a flow has ended at its backend server or caller.
func (w *world) ended(t tuple) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flow(t).ended = true
}

// ran judges the start of a request at a backend server.
func (w *world) ran(s *server, r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["requests run"]++
	if first, again := w.runs[r.id]; again && r.unsafe {
		w.fail("an unrepeatable request runs at most once", "%s ran at %s and again at %s", r.id, first, s.name)
	}
	w.runs[r.id] = s.name
}

// reset judges a reset that no backend server sent.
func (w *world) reset(t tuple, sender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["resets"]++
	r := w.flow(t)
	if r.owner == nil || r.ended || !r.owner.holds(t, r.incarnation) {
		return
	}
	if w.isRouteDropped(t, r.openedAt) {
		w.counts["resets of open flows whose route a document drops"]++
		return
	}
	if !w.allCalm(w.bound(contactWindow), r.owner.name) { // it may have been silent, which counts as its end
		w.counts["resets of open flows of silent backend servers"]++
		return
	}
	w.fail("an open flow is not reset while its backend server lives", "%s reset the flow from %s to %s at %s", sender, t.caller, t.service, r.owner.name)
}

// isRouteDropped reports whether a document without the route of a flow may be in force: one
// that no document replaced which was acknowledged before the flow opened. Call it with w.mu
// held.
func (w *world) isRouteDropped(t tuple, openedAt time.Time) bool {
	return slices.ContainsFunc(w.documents, func(d *document) bool {
		isReplaced := func(next *document) bool {
			return next.number > d.number && !next.acked.IsZero() && next.acked.Before(openedAt)
		}
		return len(d.services[t.service]) == 0 && !slices.ContainsFunc(w.documents, isReplaced)
	})
}

// newestAcked returns the highest number among the acknowledged documents.
func (w *world) newestAcked() (number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.documents {
		if !d.acked.IsZero() {
			number = max(number, d.number)
		}
	}
	return number
}

// readBack judges a document that was read after atLeast had been acknowledged.
func (w *world) readBack(control string, atLeast, number uint64, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["documents read back"]++
	if number < atLeast {
		w.fail("an acknowledged document is never lost or older", "%s returned %d after %d was acknowledged", control, number, atLeast)
	}
	i := slices.IndexFunc(w.documents, func(d *document) bool { return d.number == number })
	if i < 0 || w.documents[i].body != body {
		w.fail("a document is read back as it was sent", "%s returned other content under %s", control, strconv.FormatUint(number, 10))
	}
}

// evacuated returns the zones whose evacuation stands.
func (w *world) evacuated() (zones []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for zone, o := range w.orders {
		if o.ordered {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
