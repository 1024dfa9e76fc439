package segment

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
)

// A flood of refusals is counted in full and logged in part.
func TestRefusalLinesAreBounded(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	listener := netip.MustParseAddrPort("198.18.0.1:443")
	s := &routing.Segment{Flags: routing.SYN, Tuple: flow.Tuple{Service: listener}}
	d := routing.Decision{Verdict: routing.Reset, Reason: routing.ReasonFull, Refused: &routing.RefusedFlow{Load: 50}}
	r := newRefusalLog()
	for range maxRefusalLines + 30 {
		r.record(time.Second, zap.New(core), s, d)
	}
	is.Equal(lines.Len(), maxRefusalLines)
	r.record(2*time.Second, zap.New(core), s, d)
	is.Equal(lines.Len(), maxRefusalLines+2)
	is.Equal(lines.All()[maxRefusalLines].ContextMap()["flows"], int64(30))
	is.Equal(r.counts(), map[string]map[string]uint64{listener.String(): {"no_room": maxRefusalLines + 31}})
}
