package segment_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	corefleet "fulmarmount.org/core/fleet"
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/segment"
)

const (
	usualDelay = 20 * time.Millisecond
	slowDelay  = 4 * usualDelay
)

// unevenFleet is a fleet of four backend servers that are placed on by what their agents
// measure.
type unevenFleet struct {
	*fleet
	caller   *caller
	backends []*backendServer
	agents   []*segment.Agent
	lastPort int
}

func newUnevenFleet(t *testing.T) *unevenFleet {
	f := &unevenFleet{fleet: newFleetWithStore(t, nil), lastPort: 1000}
	f.control.SetServices([]proto.Service{{
		ID: 1, Name: "desk", Mode: proto.ModeSegment, Inbound: []proto.Inbound{{Addr: f.serviceAddr, Weight: 1}},
		Settings: corefleet.Settings{MeasuredCapacity: 1, MaxUnfitPercent: 25},
	}})
	for n := range 4 {
		h, agent := f.startBackend(fmt.Sprint("host-", n))
		h.setDelay(usualDelay)
		if err := agent.HandleReport(h.report(1)); err != nil {
			t.Fatal(err)
		}
		f.backends, f.agents = append(f.backends, h), append(f.agents, agent)
	}
	f.startBalancer(len(f.backends))
	f.caller = f.newCaller()
	return f
}

// request opens a flow and waits for the response to its request.
func (f *unevenFleet) request() {
	f.t.Helper()
	f.lastPort++
	f.caller.sendUntilAnswered(f.lastPort, routing.SYN, "")
	f.caller.sendUntilAnswered(f.lastPort, routing.ACK, "who")
}

// requestWithoutWaiting opens a flow and sends its request.
func (f *unevenFleet) requestWithoutWaiting() {
	f.t.Helper()
	f.lastPort++
	f.caller.sendUntilAnswered(f.lastPort, routing.SYN, "")
	f.send(f.lastPort)
}

func (f *unevenFleet) send(port int) {
	tuple := flow.Tuple{Caller: netip.AddrPortFrom(f.caller.addr, uint16(port)), Service: f.serviceAddr}
	_, _ = f.caller.conn.WriteToUDPAddrPort(encode(tuple, routing.ACK, "who"), f.callerAddr)
}

func (f *unevenFleet) judgement(n int) routing.Judgement {
	return f.agents[n].Dump().(segment.AgentDump).Judgement
}

// requestUntilMeasured sends requests until the service times of all are known.
func (f *unevenFleet) requestUntilMeasured() {
	f.t.Helper()
	f.waitFor("all service times are known", func() bool {
		f.request()
		for n := range f.agents {
			if f.judgement(n).ServiceTime == 0 {
				return false
			}
		}
		return true
	})
}

func TestSlowBackendServerGetsFewerNewFlows(t *testing.T) {
	is := is.New(t)
	f := newUnevenFleet(t)
	slow := f.backends[0]
	slow.setDelay(slowDelay)
	f.requestUntilMeasured()
	before, total := slow.flowCount(), 100
	for range total {
		f.request()
	}
	got := slow.flowCount() - before
	t.Log("flows on the slow backend server", got, "of", total)
	is.True(got < total/len(f.backends)/2)
	is.Equal(f.judgement(0).Unfitness, routing.Fit) // slow is not unfit
}

func TestHungBackendServerIsAvoidedUntilItAnswers(t *testing.T) {
	f := newUnevenFleet(t)
	f.requestUntilMeasured()
	hung := f.backends[0]
	hung.setDelay(waitTimeout)
	f.waitFor("the agent finds that its backend server hangs", func() bool {
		f.requestWithoutWaiting()
		return f.judgement(0).Unfitness == routing.Hung
	})
	f.waitFor("new flows avoid it", func() bool {
		before := hung.flowCount()
		for range 20 {
			f.requestWithoutWaiting()
		}
		return hung.flowCount() == before
	})
	hung.setDelay(0)
	f.waitFor("it answers and gets new flows again", func() bool {
		before := hung.flowCount()
		f.send(hung.anyPort()) // an open flow, which has stayed there
		f.requestWithoutWaiting()
		return f.judgement(0).Unfitness == routing.Fit && hung.flowCount() > before
	})
}
