package main

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestSeedRepeatsItsSchedule(t *testing.T) {
	is := is.New(t)
	a, b := schedule(7, time.Minute), schedule(7, time.Minute)
	is.Equal(a, b)
	is.True(len(a) > 20)
	is.True(fmt.Sprint(schedule(8, time.Minute)) != fmt.Sprint(a))
	is.Equal(a[len(a)-2].Kind, configure) // acknowledged, then lost by its takers
}

func TestRegressionsAreRead(t *testing.T) {
	is := is.New(t)
	is.Equal(regressions("# 3 is no seed\n12 a cause\n\n7\n"), []uint64{12, 7})
}

func TestChangedPacketIsSeen(t *testing.T) {
	is := is.New(t)
	r := request{id: "c00-000000000001", unsafe: true, body: 5000, workMS: 3}
	p := packet{flags: flagACK, src: netip.MustParseAddrPort("127.0.0.9:7"), dst: routeFeed.addr, seq: 5, ack: 6, data: r.encode()}
	b := p.encode()
	got, err := decode(b)
	is.NoErr(err)
	is.Equal(got.sum, checksum(b))
	is.Equal([]netip.AddrPort{got.src, got.dst}, []netip.AddrPort{p.src, p.dst})
	again, ok := decodeRequest(got.data)
	is.True(ok)
	is.Equal(again, r)
	b[2], b[12] = b[2]|flagBounced, 9 // an agent's mark and a bounce change nothing
	is.Equal(got.sum, checksum(b))
	b[29]++
	is.True(got.sum != checksum(b))
}

// Each check must report what it is for, and nothing else.
func TestChecks(t *testing.T) {
	const old = -time.Hour
	flow := tuple{caller: netip.MustParseAddrPort("127.0.0.9:7"), service: routeFeed.addr}
	for _, tt := range []struct {
		name   string
		see    func(w *world, s *server)
		broken int
	}{
		{"flow to its service", func(w *world, s *server) { w.tookSYN(s, flow, time.Time{}) }, 0},
		{"flow to another service", func(w *world, s *server) { s.service = "hall"; w.tookSYN(s, flow, time.Time{}) }, 1},
		{"flow of a late caller to a draining server", func(w *world, s *server) { w.tookSYN(s, flow, time.Now()) }, 0},
		{"flow to a drained server", func(w *world, s *server) { w.tookSYN(s, flow, time.Now().Add(old)) }, 1},
		{"flow to an evacuated zone", func(w *world, s *server) {
			w.orders[s.zone] = &order{ordered: true, ackedAt: time.Now().Add(old), inForceAt: time.Now().Add(old)}
			w.tookSYN(s, flow, time.Time{})
		}, 1},
		{"flow to an evacuated zone by an agent that restarted", func(w *world, s *server) {
			w.orders[s.zone] = &order{ordered: true, ackedAt: time.Now().Add(old), inForceAt: time.Now().Add(old)}
			w.disturb(s.agent)()
			w.tookSYN(s, flow, time.Time{})
		}, 0},
		{"safe request twice", func(w *world, s *server) { w.ran(s, &request{id: "1"}); w.ran(s, &request{id: "1"}) }, 0},
		{"unsafe request twice", func(w *world, s *server) {
			w.ran(s, &request{id: "1", unsafe: true})
			w.ran(s, &request{id: "1", unsafe: true})
		}, 1},
		{"reset of an open flow", func(w *world, s *server) { w.opened(s, flow, 1); w.reset(flow, "balancer-0") }, 1},
		{"reset of a lost flow", func(w *world, s *server) { w.opened(s, flow, 1); s.die(); w.reset(flow, "balancer-0") }, 0},
		{"reset by a balancer that was paused", func(w *world, s *server) {
			w.opened(s, flow, 1)
			w.disturb("balancer-0")()
			w.reset(flow, "balancer-0")
		}, 1},
		{"reset of a flow of a backend server that was silent", func(w *world, s *server) {
			w.opened(s, flow, 1)
			w.disturb(s.name)()
			w.reset(flow, "balancer-0")
		}, 0},
		{"reset of a flow whose route a document drops", func(w *world, s *server) {
			w.opened(s, flow, 1)
			w.documents = append(w.documents, &document{number: 3})
			w.reset(flow, "balancer-0")
		}, 0},
		{"reset of a flow whose route was back before it opened", func(w *world, s *server) {
			w.documents = append(w.documents, &document{number: 3}, &document{number: 4, acked: time.Now(), services: w.documents[0].services})
			w.opened(s, flow, 1)
			w.reset(flow, "balancer-0")
		}, 1},
		{"flows to a cold server", func(w *world, s *server) { w.tookCold(s, 20, time.Second) }, 0},
		{"too many flows to a cold server", func(w *world, s *server) { w.tookCold(s, 26, time.Second) }, 1},
		{"newest document", func(w *world, _ *server) { w.readBack("control-0", 2, 2, "two") }, 0},
		{"older document", func(w *world, _ *server) { w.readBack("control-0", 2, 1, "one") }, 1},
		{"other content", func(w *world, _ *server) { w.readBack("control-0", 2, 2, "one") }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.start, w.limitsCold = w.start.Add(old), true
			desk := map[netip.AddrPort][]string{flow.service: {"desk"}}
			w.documents = []*document{{number: 1, body: "one", services: desk}, {number: 2, body: "two", services: desk}}
			s := &server{w: w, name: "server-0", agent: "agent-0", zone: zoneName(0), service: "desk"}
			s.startAgain(false)
			s.flows[flow] = &serverFlow{open: true}
			tt.see(w, s)
			is.Equal(len(w.violations), tt.broken)
		})
	}
}

// Plays a short schedule with real processes. The bounds are so wide that only checks
// that hold at any speed can fail.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	is := is.New(t)
	root, err := filepath.Abs("../..")
	is.NoErr(err)
	o := options{root: root, folder: t.TempDir(), seed: 1, length: 8 * time.Second, slack: 4, log: zap.NewNop()}
	w, err := run(t.Context(), o)
	is.NoErr(err)
	t.Log(w.verdict())
	for _, v := range w.violations {
		t.Error(v)
	}
	is.True(w.counts["attempts "+string(done)] > 0)
	_, err = writeReport(w, o)
	is.NoErr(err)
}
