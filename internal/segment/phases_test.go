package segment_test

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/segment"
)

func TestOperatorsSeeThePhasesOfAStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(h.report(1)))
	b := f.startBalancer(1)
	f.newCaller().sendUntilAnswered(1000, routing.SYN, "")
	ended := func(all []phases.Phase) map[string]bool {
		out := make(map[string]bool)
		for _, p := range all {
			out[p.Name] = true
		}
		return out
	}
	f.waitFor("the balancer has placed a flow that a backend server owns", func() bool {
		p := ended(b.Counters().(segment.BalancerCounters).Start)
		return p["configuration_confirmed"] && p["first_view"] && p["first_placed"] && p["first_owned"]
	})
	f.waitFor("the agent has passed on the answer", func() bool {
		p := ended(agent.Counters().(segment.AgentCounters).Start)
		return p["backend_reported"] && p["announced"] && p["configuration_adopted"] && p["first_replied"]
	})
}
