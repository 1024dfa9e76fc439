package segment_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// A caller's packets that come before control has confirmed the configuration are answered
// with it, not at their retransmission. Each is sent once.
func TestEarlyPacketsAreAnsweredOnceTheConfigurationIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startBackend("host-1")
	is.NoErr(agent.HandleReport(h.report(1)))
	first := f.startBalancer(1)
	c := f.newCaller()
	c.sendUntilAnswered(1000, routing.SYN, "")
	is.NoErr(first.Stop(context.Background()))

	var hasControl atomic.Bool
	options := f.commonOptions("balancer")
	control := options.ControlAddrs
	options.ControlAddrs = func() []netip.AddrPort {
		if !hasControl.Load() {
			return nil
		}
		return control()
	}
	b, err := segment.StartBalancer(segment.BalancerOptions{CommonOptions: options, CallerAddr: f.callerAddr})
	is.NoErr(err)
	t.Cleanup(func() { _ = b.Stop(context.Background()) })
	opened := flow.Tuple{Caller: netip.AddrPortFrom(c.addr, 1000), Service: f.serviceAddr}
	opening := flow.Tuple{Caller: netip.AddrPortFrom(c.addr, 1001), Service: f.serviceAddr}
	_, _ = c.conn.WriteToUDPAddrPort(encode(opened, routing.ACK, "who"), f.callerAddr)
	_, _ = c.conn.WriteToUDPAddrPort(encode(opening, routing.SYN, ""), f.callerAddr)
	f.waitFor("both packets were early", func() bool {
		return b.Counters().(segment.BalancerCounters).Decisions[routing.ReasonConfigUnconfirmed.String()] == 2
	})
	hasControl.Store(true)

	answers := make(map[flow.Tuple]string)
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	for buf := make([]byte, 2048); len(answers) < 2; {
		n, err := c.conn.Read(buf)
		is.NoErr(err)
		header, err := codec{}.Decode(buf[:n], segment.FromBackend)
		is.NoErr(err)
		answers[header.Tuple] = string(buf[testHeaderSize:n])
		if header.Tuple == opening {
			is.Equal(header.Flags, routing.SYN|routing.ACK)
		}
	}
	is.Equal(answers[opened], h.name)
}
