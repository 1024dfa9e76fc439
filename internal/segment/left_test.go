package segment

import (
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
)

type testRing struct{}

func (testRing) Active() (uint8, []byte)     { return 1, make([]byte, 32) }
func (testRing) Secret(uint8) ([]byte, bool) { return nil, false }

// startTestAgent starts an agent without control, and returns it with the address of its
// backend server.
func startTestAgent(t *testing.T) (*Agent, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	backend := netip.MustParseAddrPort("127.0.0.1:1")
	any := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := StartAgent(AgentOptions{
		CommonOptions: CommonOptions{
			Name: "agent", EnvelopeAddr: any, ControlAddrs: func() []netip.AddrPort { return nil }, KeyRing: testRing{},
			TLSConfig: func() *tls.Config { return &tls.Config{} }, Now: time.Now, Log: zap.NewNop(),
		},
		BackendAddr: backend, OutboundAddr: any, BackendSilenceTimeout: time.Minute, IdleTimeout: time.Minute,
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
	start := time.UnixMilli(1_700_000_000_000)
	report := func(start time.Time, sequence uint64) error {
		return a.HandleReport(BackendReport{
			ID: "host", Service: "desk", Address: backend, Incarnation: uint64(start.UnixMilli()), StartedAt: start, Sequence: sequence, Slots: 2,
		})
	}
	is.NoErr(report(start, 1))
	is.Equal(a.steer.State(), routing.BackendServing)
	a.Deregister("host")
	is.True(errorx.IsOfType(report(start, 2), ErrStaleReport))
	is.Equal(a.steer.State(), routing.BackendDeregistered)
	is.NoErr(report(start.Add(time.Second), 1))
	is.Equal(a.steer.State(), routing.BackendServing)
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
		{"the address of another VM", func(r *BackendReport) { r.Address = netip.MustParseAddrPort("10.0.0.1:1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, backend := startTestAgent(t)
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
