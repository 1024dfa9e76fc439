package node

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/role/agent"
	"fulmarmount.org/fulmarmount/internal/role/balancer"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// patience bounds a wait for the fleet to settle; it decides nothing where the
// fleet works.
const patience = 30 * time.Second

// testFleet is a whole fleet within the test's process.
type testFleet struct {
	t       testing.TB
	set     *keys.Set
	bind    settings.Bind
	control *control.Control
	agents  int
	via     netip.AddrPort // where control is reached, if not at its own address
	ahead   atomic.Int64   // of the fleet's clock before the machine's, in nanoseconds
}

func (f *testFleet) now() time.Time { return time.Now().Add(time.Duration(f.ahead.Load())) }

// newEmptyFleet returns a fleet without processes.
func newEmptyFleet(t testing.TB) *testFleet {
	t.Helper()
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{t: t, set: set}
}

func newFleet(t testing.TB, services ...proto.Service) *testFleet {
	t.Helper()
	f := newEmptyFleet(t)
	running, err := startControl(f.options("control", settings.Process{
		Control: settings.Control{Listen: netip.MustParseAddrPort("127.0.0.1:0")},
	}))
	if err != nil {
		t.Fatal(err)
	}
	f.control = running.(*control.Control)
	t.Cleanup(func() { _ = f.control.Close() })
	f.control.SetServices(services)
	return f
}

func (f *testFleet) options(name string, s settings.Process) Options {
	identity, err := f.set.Identity(name, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	s.Name = name
	if f.control != nil {
		s.Join.Control = []netip.AddrPort{f.control.Addr()}
	}
	if f.via.IsValid() {
		s.Join.Control = []netip.AddrPort{f.via}
	}
	return Options{Settings: &s, Identity: identity, Ring: f.set.Ring, Spray: 2, Now: f.now, Log: zap.NewNop()}
}

func (f *testFleet) balancer(name string) *balancer.Balancer { return f.successor(name, nil) }

// successor starts a balancer that takes over from another; nil stands for none.
func (f *testFleet) successor(name string, inherited handover.Bundle) *balancer.Balancer {
	o := f.options(name, settings.Process{Balancer: settings.Balancer{
		Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		MTU:     1500,
		Bind:    f.bind,
	}})
	o.Inherited = inherited
	running, err := startBalancer(o)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = running.Stop(expired()) })
	return running.(*balancer.Balancer)
}

func (f *testFleet) agent(service string, backend netip.AddrPort) *agent.Agent {
	f.agents++
	name := fmt.Sprintf("%s-%d", service, f.agents)
	running, err := startAgent(f.options(name, settings.Process{Zone: "zone-a"}), settings.Agent{
		Service:     service,
		ID:          name,
		Backend:     backend,
		Packets:     netip.MustParseAddrPort("127.0.0.1:0"),
		Requests:    netip.MustParseAddrPort("127.0.0.1:0"),
		MTU:         settings.DefaultMTU,
		Slots:       4,
		IdleTimeout: time.Hour,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = running.Stop(expired()) })
	return running.(*agent.Agent)
}

// settle sends messages of a session until one is answered.
func settle(t testing.TB, target netip.AddrPort) {
	t.Helper()
	probe, err := standin.StartSession(standin.SessionOptions{ID: 1, Targets: []netip.AddrPort{target}})
	if err != nil {
		t.Fatal(err)
	}
	defer probe.Close()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		err := probe.Exchange(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	t.Fatalf("no message to %s was answered", target)
}

var (
	floorAddr     = testAddr(0)
	deskAddr      = testAddr(1)
	catalogueAddr = testAddr(2)
)

// testAddr returns service address n of this process. No other running test
// process has its port: balancers share ports, with wildcard sockets on every
// address, so two processes with one port would take each other's packets.
func testAddr(n int) netip.AddrPort {
	const firstPort, processes, addresses = 10_000, 5_000, 4 // below the ephemeral ports
	port := firstPort + os.Getpid()%processes*addresses + n
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 40, byte(1 + n)}), uint16(port))
}

func TestDatagramsOfOneFlowSprayedOverTwoBalancersReachOneServer(t *testing.T) {
	for _, bind := range []settings.Bind{settings.BindAddresses, settings.BindWildcard} {
		t.Run(string(bind), func(t *testing.T) { testSprayedFlows(t, bind) })
	}
}

func testSprayedFlows(t *testing.T, bind settings.Bind) {
	is := is.New(t)
	f := newFleet(t, proto.Service{ID: 1, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr}})
	f.bind = bind
	var echoes []*standin.Echo
	for i := range 3 {
		echo, err := standin.StartEcho(standin.EchoOptions{Name: fmt.Sprintf("bench-%d", i)})
		is.NoErr(err)
		defer echo.Close()
		echoes = append(echoes, echo)
		f.agent("floor", echo.Addr())
	}
	first, second := f.balancer("balancer-1"), f.balancer("balancer-2")
	settle(t, floorAddr)
	waitForMembers(t, first, second, len(echoes))
	for id := range uint64(8) {
		session, err := standin.StartSession(standin.SessionOptions{ID: 100 + id, Targets: []netip.AddrPort{floorAddr}})
		is.NoErr(err)
		defer session.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		for range 32 {
			is.NoErr(session.Exchange(ctx))
		}
		cancel()
		is.True(session.Report().Whole())
	}
	is.True(first.Stats().Forwarded.Load() > 0)
	is.True(second.Stats().Forwarded.Load() > 0)
}

func waitForMembers(t testing.TB, first, second *balancer.Balancer, want int) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if first.AvailableCount(1) == want && second.AvailableCount(1) == want {
			return
		}
	}
	t.Fatalf("balancers know %d and %d of %d backend servers that take flows", first.AvailableCount(1), second.AvailableCount(1), want)
}

func TestCatalogueOverHTTP3SurvivesTheLossOfABalancer(t *testing.T) {
	is := is.New(t)
	catalogue, err := standin.StartCatalogue(standin.CatalogueOptions{Name: "sheets"})
	is.NoErr(err)
	defer catalogue.Close()
	f := newFleet(t, proto.Service{ID: 1, Name: "catalogue", Mode: proto.ModePacket, Addresses: []netip.AddrPort{catalogueAddr}})
	f.agent("catalogue", catalogue.Addr())
	first, second := f.balancer("balancer-1"), f.balancer("balancer-2")
	waitForMembers(t, first, second, 1)
	sheet := download(t, catalogue.Trust(), func() { _ = first.Close() })
	is.Equal(sheet.Bytes, int64(sheetSize))
	is.True(first.Stats().Forwarded.Load() > 0)
	is.True(second.Stats().Forwarded.Load() > 0)
}

// sheetSize is the length of a large catalogue sheet in bytes.
const sheetSize = 64 << 20

// download pulls one sheet and calls halfway once within it.
func download(t *testing.T, trust *x509.CertPool, halfway func()) standin.Sheet {
	t.Helper()
	conn, err := standin.StartSpray(standin.SprayOptions{Targets: []netip.AddrPort{catalogueAddr}})
	if err != nil {
		t.Fatal(err)
	}
	d := standin.NewDownloader(standin.DownloaderOptions{Conn: conn, Trust: trust})
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	sheet, err := d.Download(ctx, sheetSize, func(n int64) {
		if n > sheetSize/2 && halfway != nil {
			halfway()
			halfway = nil
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return sheet
}

func TestRequestOverTCPReachesItsService(t *testing.T) {
	is := is.New(t)
	desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: "desk"})
	is.NoErr(err)
	defer desk.Close()
	f := newFleet(t, proto.Service{ID: 1, Name: "desk", Mode: proto.ModeStream, Addresses: []netip.AddrPort{deskAddr}})
	f.agent("desk", desk.Addr())
	b := f.balancer("balancer-1")
	waitForMembers(t, b, b, 1)
	client := http.Client{Timeout: patience}
	response, err := client.Get("http://" + deskAddr.String() + "/")
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(len(body) > 0)
}

func TestGracefulStopCutsOffNoRequest(t *testing.T) {
	for _, stopped := range []string{"agent", "balancer", "both"} {
		t.Run(stopped, func(t *testing.T) {
			is := is.New(t)
			desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: "desk"})
			is.NoErr(err)
			defer desk.Close()
			f := newFleet(t, proto.Service{ID: 1, Name: "desk", Mode: proto.ModeStream, Addresses: []netip.AddrPort{deskAddr}})
			a, b := f.agent("desk", desk.Addr()), f.balancer("balancer-1")
			waitForMembers(t, b, b, 1)
			desk.SetMode(standin.ModeStallAfter)
			answer := make(chan error, 1)
			go func() { answer <- amend("http://" + deskAddr.String() + "/amendments") }()
			waitForTunnel(t, a)

			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			done := make(chan error, 2)
			running := 0
			for name, r := range map[string]role{"agent": a, "balancer": b} {
				if stopped == name || stopped == "both" {
					running++
					go func() { done <- r.Stop(ctx) }()
				}
			}
			if stopped != "balancer" {
				waitForMembersDraining(t, b)
			}
			desk.SetMode(standin.ModeServe)
			is.NoErr(<-answer)
			for range running {
				is.NoErr(<-done)
			}
			is.NoErr(ctx.Err())
		})
	}
}

// amend lodges an amendment and fails unless the whole answer arrives.
func amend(url string) error {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("blades: 40"))
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", "a-1")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer standin.OrderAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	if answer.Run != 1 {
		return fmt.Errorf("amendment ran %d times", answer.Run)
	}
	return nil
}

// waitForTunnel waits until an agent carries a connection.
func waitForTunnel(t *testing.T, a *agent.Agent) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if a.Counters().(agent.Counters).Tunnels > 0 {
			return
		}
	}
	t.Fatal("no connection has reached the agent")
}

// waitForMembersDraining waits until no member takes new work.
func waitForMembersDraining(t *testing.T, b *balancer.Balancer) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if b.AvailableCount(1) == 0 {
			return
		}
	}
	t.Fatal("a stopping agent still takes new work")
}

func TestBalancerRestartLosesNoDatagramAndNoConnection(t *testing.T) {
	is := is.New(t)
	desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: "desk"})
	is.NoErr(err)
	defer desk.Close()
	echo, err := standin.StartEcho(standin.EchoOptions{Name: "bench"})
	is.NoErr(err)
	defer echo.Close()
	f := newFleet(t,
		proto.Service{ID: 1, Name: "desk", Mode: proto.ModeStream, Addresses: []netip.AddrPort{deskAddr}},
		proto.Service{ID: 2, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr}})
	a := f.agent("desk", desk.Addr())
	f.agent("floor", echo.Addr())
	first := f.balancer("balancer-1")
	waitForMembers(t, first, first, 1)
	settle(t, floorAddr)

	// A request is in flight and a session has datagrams on the way.
	desk.SetMode(standin.ModeStallAfter)
	answer := make(chan error, 1)
	go func() { answer <- amend("http://" + deskAddr.String() + "/amendments") }()
	waitForTunnel(t, a)
	session, err := standin.StartSession(standin.SessionOptions{ID: 7, Targets: []netip.AddrPort{floorAddr}})
	is.NoErr(err)
	defer session.Close()
	const waiting = 16
	for range waiting {
		_, err := session.Send()
		is.NoErr(err)
	}

	// Control is gone, so the successor has only what it takes over.
	is.NoErr(f.control.Close())
	path := filepath.Join(t.TempDir(), "handover")
	server, err := handover.Listen(path, first, zap.NewNop())
	is.NoErr(err)
	defer server.Close()
	bundle, err := handover.Receive(path)
	is.NoErr(err)
	second := f.successor("balancer-1", bundle)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for range waiting {
		is.NoErr(session.Receive(ctx))
	}
	for range waiting {
		is.NoErr(session.Exchange(ctx))
	}
	is.True(session.Report().Whole())
	is.True(second.Stats().Forwarded.Load() >= waiting)

	// The connection that the predecessor still holds ends whole; a new one
	// goes to the successor.
	desk.SetMode(standin.ModeServe)
	is.NoErr(<-answer)
	is.NoErr(first.Stop(ctx))
	response, err := http.Get("http://" + deskAddr.String() + "/")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

func TestReplyBeyondThePathIsDroppedAndCounted(t *testing.T) {
	is := is.New(t)
	backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer backend.Close()
	go func() {
		buf := make([]byte, 64)
		for {
			_, from, err := backend.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = backend.WriteToUDPAddrPort(make([]byte, 1400), from)
			_, _ = backend.WriteToUDPAddrPort(make([]byte, 1200), from)
		}
	}()
	f := newFleet(t, proto.Service{ID: 1, Name: "floor", Mode: proto.ModePacket, Addresses: []netip.AddrPort{floorAddr}})
	a := f.agent("floor", backend.LocalAddr().(*net.UDPAddr).AddrPort())
	b := f.balancer("balancer-1")
	waitForMembers(t, b, b, 1)

	caller, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(floorAddr))
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.SetReadDeadline(time.Now().Add(patience)))
	_, err = caller.Write([]byte("ask"))
	is.NoErr(err)
	n, err := caller.Read(make([]byte, 2000))
	is.NoErr(err)
	is.Equal(n, 1200)
	is.Equal(a.Counters().(agent.Counters).Oversize, uint64(1))
}

// expired returns a context that has ended, for stops that wait for nothing.
func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
