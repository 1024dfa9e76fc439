package segment_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
)

// A stopped agent does not respond to probes. The search must continue with the next
// agent without waiting for the caller to retransmit.
func TestFlowSearchSkipsUnresponsiveAgent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	backend1, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(backend1.report(1)))
	first := f.startBalancer(1)
	c := f.newCaller()
	const flows = 20
	for port := 1000; port < 1000+flows; port++ {
		flags, _ := c.sendUntilAnswered(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		c.sendUntilAnswered(port, routing.ACK, "who")
	}
	backend2, other := f.startBackend("host-2")
	is.NoErr(other.HandleReport(backend2.report(1)))
	is.NoErr(first.Stop(context.Background()))
	f.startBalancer(2)
	is.NoErr(other.Stop(context.Background()))
	for port := 1000; port < 1000+flows; port++ {
		is.Equal(c.sendOnce(port, "who"), backend1.name)
	}
}
