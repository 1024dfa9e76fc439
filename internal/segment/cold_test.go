package segment_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/segment"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// testClock is a clock that stands still unless it is moved.
type testClock struct {
	start  time.Time
	offset atomic.Int64
}

func (c *testClock) now() time.Time          { return c.start.Add(time.Duration(c.offset.Load())) }
func (c *testClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

const testColdLimit = 3

// startColdFleet starts a fleet with a limit for cold backend servers: a cold one whose
// agent has a clock of its own, and a warm one.
func startColdFleet(t *testing.T, adjust func(*segment.BackendReport)) (f *fleet, cold *backendServer, agent *segment.Agent, clock *testClock) {
	t.Helper()
	is := is.New(t)
	f = newFleet(t)
	desk := f.desk()
	desk.Settings.WarmupFlowLimit = testColdLimit
	f.control.SetServices([]proto.Service{desk})
	clock = &testClock{start: time.Now()}
	cold, agent = f.startBackend("host-1")
	is.NoErr(agent.Stop(context.Background()))
	options := f.agentOptions(cold)
	options.Now = clock.now
	f.coldAgent = options
	agent, err := segment.StartAgent(options)
	is.NoErr(err)
	t.Cleanup(func() { _ = agent.Stop(context.Background()) })
	f.waitFor("the agent has its configuration", agent.Ready)
	cold.startedAt = clock.now()
	report := cold.report(1)
	report.WarmupRemaining = 5 * time.Second
	adjust(&report)
	is.NoErr(agent.HandleReport(report))
	warm, other := f.startBackend("host-2")
	is.NoErr(other.HandleReport(warm.report(1)))
	f.startBalancer(2)
	return f, cold, agent, clock
}

// The agent holds the limit, whatever the balancer places; what it refuses is served by
// others at once, and it takes flows again as soon as its limit allows.
func TestColdBackendServerIsNotOverrun(t *testing.T) {
	is := is.New(t)
	f, cold, agent, clock := startColdFleet(t, func(*segment.BackendReport) {})
	c := f.newCaller()
	openFlows(c, 1000, 1040)
	is.Equal(cold.flowCount(), testColdLimit)
	counters := agent.Counters().(segment.AgentCounters)
	is.True(counters.Cold)
	is.Equal(counters.NewFlowAllowance, uint16(0))
	is.True(counters.Refusals[routing.RefusalColdLimit.String()] < 40) // the balancer learns of the limit

	port := 2000
	takesMore := func(n int) func() bool {
		return func() bool {
			openFlows(c, port, port+1)
			port++
			return cold.flowCount() >= n
		}
	}
	clock.advance(1100 * time.Millisecond)
	f.waitFor("the cold backend server takes flows again", takesMore(2*testColdLimit))
	openFlows(c, 3000, 3020)
	is.Equal(cold.flowCount(), 2*testColdLimit)

	clock.advance(4 * time.Second) // it is warm, by the time since its report arrived
	f.waitFor("the warm backend server takes more than its limit", takesMore(4*testColdLimit))
	is.True(!agent.Counters().(segment.AgentCounters).Cold)
}

// An agent that starts again while control cannot be reached knows no limit of its
// service. Balancers that know its backend server go on placing flows there.
func TestRestartedAgentWithoutControlHoldsItsOwnLimit(t *testing.T) {
	is := is.New(t)
	f, cold, agent, clock := startColdFleet(t, func(*segment.BackendReport) {})
	c := f.newCaller()
	openFlows(c, 1000, 1020)
	is.NoErr(agent.Stop(context.Background()))
	clock.advance(time.Millisecond) // the restarted process is younger than the backend server
	options := f.coldAgent
	options.SessionID += 1000
	options.ControlAddrs, options.ColdLimit = subscribe.Fixed(freeAddr(t)), testColdLimit
	restarted, err := segment.StartAgent(options)
	is.NoErr(err)
	t.Cleanup(func() { _ = restarted.Stop(context.Background()) })
	report := cold.report(2)
	report.WarmupRemaining = time.Hour
	is.NoErr(restarted.HandleReport(report))
	refused := func() uint64 {
		return restarted.Counters().(segment.AgentCounters).Refusals[routing.RefusalColdLimit.String()]
	}
	port := 2000
	tries := func() bool {
		openFlows(c, port, port+1)
		port++
		return refused() > 0
	}
	f.waitFor("the balancer tries the restarted agent", tries)
	is.Equal(cold.flowCount(), testColdLimit) // those of its earlier process
	clock.advance(1100 * time.Millisecond)
	f.waitFor("the agent takes its limit again", func() bool { return tries() && cold.flowCount() >= 2*testColdLimit })
	for range 100 {
		tries() // whether the balancer knows of the limit by now or not
	}
	is.Equal(cold.flowCount(), 2*testColdLimit)
	is.True(!restarted.Ready())
}

// A balancer whose only backend server is refused by an agent without configuration lets
// the caller wait, as with one that has its configuration.
func TestCallersWaitForAgentWithoutControl(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	cold, agent := f.startBackend("host-1")
	is.NoErr(agent.Stop(context.Background()))
	options := f.agentOptions(cold)
	agent, err := segment.StartAgent(options)
	is.NoErr(err)
	is.NoErr(agent.HandleReport(cold.report(1)))
	f.startBalancer(1)
	is.NoErr(agent.Stop(context.Background()))

	clock := &testClock{start: time.Now()}
	options.SessionID += 1000
	options.Now, options.ControlAddrs, options.ColdLimit = clock.now, subscribe.Fixed(freeAddr(t)), 1
	restarted, err := segment.StartAgent(options)
	is.NoErr(err)
	t.Cleanup(func() { _ = restarted.Stop(context.Background()) })
	report := cold.report(2)
	report.WarmupRemaining = time.Hour
	is.NoErr(restarted.HandleReport(report))
	c := f.newCaller()
	c.send(2000, routing.SYN, "")
	_, _, answered := c.receive(2000)
	is.True(!answered) // not reset
	is.Equal(restarted.Counters().(segment.AgentCounters).Refusals[routing.RefusalColdLimit.String()], uint64(1))
	clock.advance(1100 * time.Millisecond)
	openFlows(c, 2000, 2001)
	is.True(!restarted.Ready())
}

// A step of the VM's clock moves the time at which the backend server says that it has
// started. The warm-up is counted from its report and stays as it was. The agent cannot tell
// whether an earlier process has delivered flows, and waits for the time of its limit.
func TestClockStepChangesNoWarmup(t *testing.T) {
	for _, step := range []time.Duration{-24 * time.Hour, 30 * time.Minute} {
		is := is.New(t)
		f, cold, agent, clock := startColdFleet(t, func(r *segment.BackendReport) { r.StartedAt = time.Now().Add(step) })
		c := f.newCaller()
		openFlows(c, 1000, 1020)
		is.Equal(cold.flowCount(), 0)
		clock.advance(1100 * time.Millisecond)
		f.waitFor("the backend server takes flows", func() bool { openFlows(c, 2000, 2020); return cold.flowCount() > 0 })
		is.Equal(cold.flowCount(), testColdLimit)
		is.True(agent.Counters().(segment.AgentCounters).Cold)
		clock.advance(6 * time.Second)
		f.waitFor("the backend server is warm", func() bool { return !agent.Counters().(segment.AgentCounters).Cold })
	}
}

// Guards against searches for every packet of the flows that an agent takes before it has
// reached control: it confirmed them for service 0, which no balancer knows.
func TestAgentWithoutControlConfirmsItsFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	backend, agent := f.startBackend("host-1")
	is.NoErr(agent.Stop(context.Background()))
	options := f.agentOptions(backend)
	agent, err := segment.StartAgent(options)
	is.NoErr(err)
	is.NoErr(agent.HandleReport(backend.report(1)))
	balancer := f.startBalancer(1)
	is.NoErr(agent.Stop(context.Background()))
	options.SessionID += 1000
	options.ControlAddrs = subscribe.Fixed(freeAddr(t))
	restarted, err := segment.StartAgent(options)
	is.NoErr(err)
	t.Cleanup(func() { _ = restarted.Stop(context.Background()) })
	is.NoErr(restarted.HandleReport(backend.report(2)))
	c := f.newCaller()
	for port := 3000; port < 3005; port++ {
		c.sendUntilAnswered(port, routing.SYN, "")
		c.sendUntilAnswered(port, routing.ACK, "request")
	}
	is.Equal(balancer.Counters().(segment.BalancerCounters).Decisions[routing.ReasonSearched.String()], uint64(0))
	is.True(!restarted.Ready())
}
