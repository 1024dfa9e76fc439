package segment

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// A service of weight 0 is told nothing of the listener, whichever comes first.
func TestRoutesKnowTheirListeners(t *testing.T) {
	is := is.New(t)
	addr := netip.MustParseAddrPort("198.18.0.1:443")
	serving := proto.Inbound{Addr: addr, Weight: 2, Timeout: 2 * time.Second, Objective: 250 * time.Millisecond, Urgency: 1, Idempotent: true}
	b := &Balancer{services: map[string]proto.Service{
		"a": {ID: 1, Name: "a", Inbound: []proto.Inbound{{Addr: addr}}},
		"b": {ID: 2, Name: "b", Inbound: []proto.Inbound{serving}},
		"c": {ID: 3, Name: "c", Inbound: []proto.Inbound{{Addr: addr}}},
	}}
	is.Equal(b.routes(), routing.Routes{addr: {
		Services: []routing.WeightedService{{Service: 1}, {Service: 2, Weight: 2}, {Service: 3}},
		Listener: routing.Listener{Timeout: 2 * time.Second, Objective: 250 * time.Millisecond, Urgency: 1, Idempotent: true},
	}})
}
