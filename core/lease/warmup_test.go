package lease

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// Where agents limit the new flows of cold backend servers, members that warm up have
// their full weight, and the weights of other services still rise.
func TestWeightsOfFlowLimitedServicesDoNotRise(t *testing.T) {
	for _, limited := range []bool{true, false} {
		is := is.New(t)
		f := newFleet(2, Options{})
		f.registry.SetFlowLimited(map[view.ServiceID]bool{1: limited})
		f.advance(40 * second)
		f.agents = append(f.agents, announcement(2))
		f.advance(3 * second)
		is.Equal(f.latestView.Members[2].State, view.Warming)
		is.Equal(f.latestView.Members[2].Weight == view.FullWeight, limited)
	}
}
