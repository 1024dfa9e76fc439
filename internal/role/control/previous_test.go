package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// Daemons are told of a listener's previous services for as long as flows may be open there,
// and are told no more also where no further change comes.
func TestPreviousServicesArePublishedWhileFlowsMayBeOpen(t *testing.T) {
	is := is.New(t)
	addr := netip.MustParseAddrPort("198.18.0.1:443")
	now := time.Unix(1_800_000_000, 0).UTC()
	earlier := fleet.PreviousService{Service: "first", AssignedUntil: now.Add(-time.Minute)}
	latest := fleet.PreviousService{Service: "second", AssignedUntil: now}
	d := &fleet.Document{
		Defaults: fleet.DefaultSettings(),
		Services: []fleet.Service{{Name: "first"}, {Name: "second"}, {Name: "third"}},
		Listeners: []fleet.Listener{{
			Name: "route", Address: addr, WeightedServices: []fleet.WeightedService{{Service: "third", Weight: 1}},
			PreviousServices: []fleet.PreviousService{latest, earlier},
		}},
	}
	c := &term{configuration: configuration{document: d, resolver: fleet.NewResolver(d, now)}}
	hasListener := func(at time.Time) (of [3]bool) {
		for i, s := range c.effectiveServices(at) {
			of[i] = len(s.Inbound) == 1 && s.Inbound[0].Addr == addr
		}
		return of
	}
	is.Equal(hasListener(now), [3]bool{true, true, true})
	is.Equal(c.configuration.previousEnd, earlier.End())
	is.Equal(hasListener(earlier.End()), [3]bool{false, true, true})
	is.Equal(c.configuration.previousEnd, latest.End())
	is.Equal(hasListener(latest.End()), [3]bool{false, false, true})
	is.True(c.configuration.previousEnd.IsZero())
	is.Equal(c.effectiveServices(now)[0].Inbound, []proto.Inbound{{Addr: addr}}) // of weight 0
}
