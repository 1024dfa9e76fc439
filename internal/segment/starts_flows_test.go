package segment_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// keepReporting reports a start with growing numbers until the returned function is called.
// It returns once a report has been accepted.
func keepReporting(t *testing.T, agent *segment.Agent, h *backendServer, startedAt time.Time, sequence *uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	accepted, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		var once sync.Once
		pace.Every(ctx, 100*time.Millisecond, func() {
			*sequence++
			if agent.HandleReport(h.startedReport(startedAt, *sequence)) == nil {
				once.Do(func() { close(accepted) })
			}
		})
	}()
	stop = func() {
		cancel()
		<-ended
	}
	select {
	case <-accepted:
	case <-time.After(waitTimeout):
		stop()
		t.Fatal("no report was accepted")
	}
	return stop
}

// Guards against a backend server that is lost for good as it has started again after its
// VM's clock stepped back: its reports are accepted, its flows stay open, and it gets new
// flows, also after the agent beside it has started again.
func TestBackendServerThatStartedAfterClockStepServes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(h.startedReport(time.Now(), 1)))
	balancer := f.startBalancer(1)
	c := f.newCaller()
	openFlowsFrom(c, 2000)

	h = h.restart(t)
	startedAt := time.Now().Add(-2 * time.Second)
	flows := openFlowsFrom(c, 1000)
	var sequence uint64
	stop := keepReporting(t, agent, h, startedAt, &sequence)
	port := 5000
	awaitOpening := func() {
		for flags := routing.Flags(0); flags != routing.SYN|routing.ACK; port++ {
			flags, _ = c.sendUntilAnswered(port, routing.SYN, "")
		}
	}
	awaitOpening()
	openFlowsFrom(c, 3000)
	checkFlows(c, balancer, 1000, flows, "host-1")

	stop()
	is.NoErr(agent.Stop(t.Context()))
	agent = f.startAgent(h)
	defer keepReporting(t, agent, h, startedAt, &sequence)()
	awaitOpening()
	for _, first := range []int{1000, 3000} {
		for i := range flows {
			flags, got := c.sendUntilAnswered(first+i, routing.ACK, "who")
			is.Equal(flags, routing.ACK)
			is.Equal(got, "host-1")
		}
	}
}
