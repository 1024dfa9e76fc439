package segment

import (
	"crypto/tls"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
)

type testRing struct{}

func (testRing) Active() (uint8, []byte)     { return 1, make([]byte, 32) }
func (testRing) Secret(uint8) ([]byte, bool) { return nil, false }

// manualClock is a clock that only a test moves.
type manualClock struct {
	start  time.Time
	offset atomic.Int64
}

func (c *manualClock) now() time.Time          { return c.start.Add(time.Duration(c.offset.Load())) }
func (c *manualClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// testStart is a start of the backend server of startTestAgent.
type testStart struct {
	agent   *Agent
	backend netip.AddrPort
	at      time.Time
}

func (s testStart) report(sequence uint64, draining bool) error {
	return s.agent.HandleReport(BackendReport{
		ID: "host", Service: "desk", Address: s.backend, Incarnation: uint64(s.at.UnixMilli()), StartedAt: s.at,
		Sequence: sequence, Slots: 2, Draining: draining,
	})
}

// startTestAgent starts an agent without control, and returns it with the address of its
// backend server.
func startTestAgent(t *testing.T) (*Agent, netip.AddrPort) {
	t.Helper()
	return startTestAgentOf(t, "")
}

// startTestAgentOf starts an agent whose settings name a service, if it isn't empty.
func startTestAgentOf(t *testing.T, service string) (*Agent, netip.AddrPort) {
	t.Helper()
	return startTestAgentAt(t, service, time.Now)
}

// startTestAgentAt starts an agent with a clock.
func startTestAgentAt(t *testing.T, service string, now func() time.Time) (*Agent, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	backend := netip.MustParseAddrPort("127.0.0.1:1")
	any := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := StartAgent(AgentOptions{
		CommonOptions: CommonOptions{
			Name: "agent", EnvelopeAddr: any, ControlAddrs: func() []netip.AddrPort { return nil }, KeyRing: testRing{},
			TLSConfig: func() *tls.Config { return &tls.Config{} }, Now: now, Log: zap.NewNop(),
		},
		Service: service, BackendAddr: backend, OutboundAddr: any, BackendSilenceTimeout: time.Minute, IdleTimeout: time.Minute,
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = a.Stop(t.Context()) })
	return a, backend
}

// A report that was delayed on its way does not bring a backend server back that has
// left. Its next start does.
func TestReportAfterDeregistrationIsStale(t *testing.T) {
	is := is.New(t)
	a, backend := startTestAgent(t)
	start := testStart{a, backend, time.UnixMilli(1_700_000_000_000)}
	is.NoErr(start.report(1, false))
	is.Equal(a.steer.State(), routing.BackendServing)
	is.NoErr(start.report(3, true))
	a.Deregister("host")
	is.Equal(a.steer.State(), routing.BackendDeregistered)
	for _, delayed := range []struct {
		sequence uint64
		draining bool
	}{{2, false}, {3, true}, {4, true}, {5, false}} {
		is.True(errorx.IsOfType(start.report(delayed.sequence, delayed.draining), ErrStaleReport))
		is.Equal(a.steer.State(), routing.BackendDeregistered)
	}
	start.at = start.at.Add(time.Second)
	is.NoErr(start.report(1, false))
	is.Equal(a.steer.State(), routing.BackendServing)
}

// Guards against a late deregistration of an earlier start under the same ID, after which
// each report of the present one was refused and its open flows were reset.
func TestLateDeregistrationOfEarlierStartEndsNothing(t *testing.T) {
	is := is.New(t)
	a, backend := startTestAgent(t)
	earlier := testStart{a, backend, time.UnixMilli(1_700_000_000_000)}
	present := testStart{a, backend, earlier.at.Add(4 * time.Second)}
	is.NoErr(earlier.report(7, false))
	is.NoErr(earlier.report(8, true))
	is.NoErr(present.report(1, false))
	segment := routing.Segment{Flags: routing.ACK, Length: 1}
	segment.Tuple.Caller, segment.Tuple.Service = backend, backend
	a.steer.ObserveReply(a.elapsed(), &segment) // the flow is open here

	a.Deregister("host")
	is.Equal(a.steer.Receive(a.elapsed(), &segment, routing.ForwardInfo{}).Refusal, routing.RefusalNone)
	is.Equal(a.steer.State(), routing.BackendDraining) // it may have left, so it gets no new flow until it reports
	announcement, _ := a.nextAnnouncement()
	is.True(announcement.Draining && !announcement.BackendDown)
	is.NoErr(present.report(2, false))
	is.Equal(a.steer.State(), routing.BackendServing)
	announcement, _ = a.nextAnnouncement()
	is.True(!announcement.Draining)

	// It leaves itself in the end.
	is.NoErr(present.report(3, true))
	a.Deregister("host")
	is.Equal(a.steer.Receive(a.elapsed(), &segment, routing.ForwardInfo{}).Refusal, routing.RefusalBackendDown)
}

// The same while the present start drains: its later reports show that it has not left.
func TestDrainingBackendServerOutlivesLateDeregistration(t *testing.T) {
	is := is.New(t)
	clock := manualClock{start: time.Now()}
	a, backend := startTestAgentAt(t, "", clock.now)
	start := testStart{a, backend, clock.now()}
	is.NoErr(start.report(1, true))
	a.Deregister("host")
	clock.advance(time.Second)
	is.True(errorx.IsOfType(start.report(2, true), ErrStaleReport)) // it may have been on its way
	clock.advance(1)
	is.NoErr(start.report(3, true))
	is.Equal(a.steer.State(), routing.BackendDraining)
	is.True(!a.steer.IsDown())
}

// Guards against a report of another writer after which each report of the real backend
// server counts as older, so that its lease runs out while it serves.
func TestReportOfAnotherWriterChangesNothing(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		mutate func(r *BackendReport)
	}{
		{"a start far ahead", func(r *BackendReport) { r.StartedAt = now.Add(24 * time.Hour) }},
		{"a start beyond every calendar", func(r *BackendReport) { r.StartedAt = time.UnixMilli(1 << 62) }},
		{"a sequence number too large for an announcement", func(r *BackendReport) { r.Sequence = maxReportSequence + 1 }},
		{"the largest sequence number", func(r *BackendReport) { r.Sequence = 1<<64 - 1 }},
		{"no start", func(r *BackendReport) { r.Incarnation = 0 }},
		{"another service at the same start", func(r *BackendReport) { r.Service = "nobody" }},
		{"a service that the settings do not name, at a later start", func(r *BackendReport) { r.Service, r.StartedAt = "nobody", now.Add(time.Second) }},
		{"the address of another VM", func(r *BackendReport) { r.Address = netip.MustParseAddrPort("10.0.0.1:1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, backend := startTestAgentOf(t, "desk")
			report := BackendReport{
				ID: "host", Service: "desk", Address: backend, StartedAt: now, Incarnation: uint64(now.UnixMilli()), Sequence: 1, Slots: 2,
			}
			is.NoErr(a.HandleReport(report))
			odd := report
			odd.Sequence++
			c.mutate(&odd)
			if odd.StartedAt != report.StartedAt {
				odd.Incarnation = uint64(odd.StartedAt.UnixMilli())
			}
			is.True(errorx.IsOfType(a.HandleReport(odd), ErrInvalidReport))
			report.Sequence += 2
			is.NoErr(a.HandleReport(report))
			announcement, ok := a.nextAnnouncement()
			is.True(ok)
			is.Equal(announcement.Service, "desk")
			is.Equal(uint64(announcement.Incarnation), report.Incarnation)
			is.True(announcement.Sequence > 3<<announcementBits)
		})
	}
}

// Guards against requests that run at another service: a late report of a backend server
// that had the address before came first to the agent of its successor, which then took
// SYNs for it.
func TestLateReportOfAnotherServiceAtTheAddressIsRejected(t *testing.T) {
	is := is.New(t)
	a, backend := startTestAgentOf(t, "catalogue")
	earlier := testStart{a, backend, time.Now()}
	is.True(errorx.IsOfType(earlier.report(7, false), ErrInvalidReport)) // of "desk"
	_, ok := a.nextAnnouncement()
	is.True(!ok)
	syn := routing.Segment{Flags: routing.SYN}
	syn.Tuple.Caller, syn.Tuple.Service = backend, backend
	info := routing.ForwardInfo{Incarnation: view.Incarnation(earlier.at.UnixMilli()), ConfigVersion: view.Version{Epoch: 1}}
	is.Equal(a.steer.Receive(a.elapsed(), &syn, info).Refusal, routing.RefusalOtherIncarnation)
}

// An agent whose settings name no service learns it from the reports.
func TestReportsTellTheServiceWhereSettingsDoNot(t *testing.T) {
	is := is.New(t)
	a, backend := startTestAgent(t)
	is.NoErr(testStart{a, backend, time.Now()}.report(1, false))
	announcement, ok := a.nextAnnouncement()
	is.True(ok)
	is.Equal(announcement.Service, "desk")
}
