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

// A report that was delayed on its way does not bring a backend server back that has
// left. Its next start does.
func TestReportAfterDeregistrationIsStale(t *testing.T) {
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
	start := time.UnixMilli(1_800_000_000_000)
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
