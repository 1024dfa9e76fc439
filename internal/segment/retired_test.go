package segment_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	corefleet "fulmarmount.org/core/fleet"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/fleetstore"
)

// importListener imports a document that leads an address to one service and names no
// other.
func importListener(t *testing.T, store *fleetstore.Store, number uint64, addr netip.AddrPort, service string) {
	t.Helper()
	d := &corefleet.Document{
		Defaults: corefleet.DefaultSettings(),
		Services: []corefleet.Service{{Name: service, Mode: corefleet.ModeSegment}},
		Listeners: []corefleet.Listener{{
			Name: "route", Address: addr, Timeout: time.Second,
			WeightedServices: []corefleet.WeightedService{{Service: service, Weight: 1}},
		}},
	}
	imports := fleetstore.NewImportStore(store, time.Now)
	result, err := imports.Import(context.Background(), corefleet.Import{Number: number, RawDocument: []byte(service)}, d)
	if err != nil || result.Outcome != corefleet.OutcomeAccepted {
		t.Fatal(result, err)
	}
}

// Guards against resets of open flows whose listener leads to another service now, by a
// balancer that starts after the configuration stopped naming their own.
func TestFlowsOfRetiredServiceSurviveBalancerRestart(t *testing.T) {
	is := is.New(t)
	machine := fleetstore.NewStateMachine()
	store := fleetstore.NewStore(fleetstore.NewLocalLog(machine), machine)
	f := newFleetWithStore(t, store)
	importListener(t, store, 1, f.serviceAddr, "desk-1")
	old, oldAgent := f.startBackendOf("desk-1", "host-1")
	is.NoErr(oldAgent.HandleReport(old.report(1)))
	next, nextAgent := f.startBackendOf("desk-2", "host-2")
	balancer := f.startBalancer(1)
	c := f.newCaller()
	const flows = 20
	for port := 1000; port < 1000+flows; port++ {
		flags, _ := c.sendUntilAnswered(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		_, owner := c.sendUntilAnswered(port, routing.ACK, "who")
		is.Equal(owner, old.name)
	}

	importListener(t, store, 2, f.serviceAddr, "desk-2")
	f.waitFor("the next service's agent has its configuration", nextAgent.Ready)
	is.NoErr(nextAgent.HandleReport(next.report(1)))
	is.NoErr(balancer.Stop(context.Background()))
	f.startBalancer(1) // the retired service accepts no new flows
	for port := 1000; port < 1000+flows; port++ {
		flags, owner := c.sendUntilAnswered(port, routing.ACK, "who")
		is.Equal(flags, routing.ACK)
		is.Equal(owner, old.name)
	}
	flags, _ := c.sendUntilAnswered(2000, routing.SYN, "")
	is.Equal(flags, routing.SYN|routing.ACK)
	_, owner := c.sendUntilAnswered(2000, routing.ACK, "who")
	is.Equal(owner, next.name)
}

// Guards against resets of flows at a service that their listener has left many moves ago,
// by a balancer that starts afterwards.
func TestFlowsOfEveryPreviousServiceSurviveBalancerRestart(t *testing.T) {
	const moves = 12
	is := is.New(t)
	machine := fleetstore.NewStateMachine()
	store := fleetstore.NewStore(fleetstore.NewLocalLog(machine), machine)
	f := newFleetWithStore(t, store)
	importListener(t, store, 1, f.serviceAddr, "desk-0")
	first, agent := f.startBackendOf("desk-0", "host-0")
	is.NoErr(agent.HandleReport(first.report(1)))
	balancer := f.startBalancer(1)
	c := f.newCaller()
	flows := openFlowsFrom(c, 1000)
	for i := 1; i <= moves; i++ {
		service := fmt.Sprint("desk-", i)
		importListener(t, store, uint64(1+i), f.serviceAddr, service)
		h, agent := f.startBackendOf(service, fmt.Sprint("host-", i))
		f.waitFor("the next service's agent has its configuration", agent.Ready)
		is.NoErr(agent.HandleReport(h.report(1)))
	}
	checkFlows(c, balancer, 1000, flows, "host-0")
}
