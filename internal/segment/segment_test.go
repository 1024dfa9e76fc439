package segment_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/segment"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// patience bounds waits; it decides nothing where the code works.
const patience = 20 * time.Second

// codec is a format of the test's own: flags, bounced, token, caller, service.
type codec struct{}

const testHeader = 18

func (codec) Decode(b []byte, from segment.Origin) (segment.Header, error) {
	if len(b) < testHeader {
		return segment.Header{}, segment.BadAnnouncement.New("short packet")
	}
	return segment.Header{
		Origin: from, Bounced: b[1] == 1, Token: binary.BigEndian.Uint32(b[2:]),
		Segment: routing.Segment{
			Flags: routing.Flags(b[0]), Length: len(b) - testHeader,
			Tuple: flow.Tuple{Caller: addrAt(b[6:]), Service: addrAt(b[12:])},
		},
	}, nil
}

func addrAt(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

func (codec) SetToken(b []byte, token uint32) { binary.BigEndian.PutUint32(b[2:], token) }

func (c codec) Restore(b []byte) {
	b[1] = 0
	c.SetToken(b, 0)
}

func (codec) AppendReset(dst []byte, s *routing.Segment) []byte {
	return append(dst, encode(s.Tuple, routing.RST, "")...)
}

func encode(t flow.Tuple, flags routing.Flags, data string) []byte {
	b := make([]byte, testHeader, testHeader+len(data))
	b[0] = byte(flags)
	for i, addr := range []netip.AddrPort{t.Caller, t.Service} {
		ip := addr.Addr().As4()
		copy(b[6+6*i:], ip[:])
		binary.BigEndian.PutUint16(b[10+6*i:], addr.Port())
	}
	return append(b, data...)
}

// host is a backend server that knows its flows, bounces others and answers data
// with its name.
type host struct {
	name     string
	conn     *net.UDPConn
	outbound netip.AddrPort
	mu       sync.Mutex
	flows    map[flow.Tuple]bool
}

func (h *host) run() {
	buf := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buf)
		if err != nil {
			return
		}
		_, _ = h.conn.WriteToUDPAddrPort(h.answer(buf[:n]), h.outbound)
	}
}

func (h *host) answer(b []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	in, _ := codec{}.Decode(b, segment.FromCaller)
	switch {
	case in.OpensFlow():
		h.flows[in.Tuple] = true
		return encode(in.Tuple, routing.SYN|routing.ACK, "")
	case h.flows[in.Tuple]:
		return encode(in.Tuple, routing.ACK, h.name)
	}
	b[1] = 1
	return b
}

// held returns the number of flows that the host holds.
func (h *host) held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// fleet is a control process with one service, its balancers and agents.
type fleet struct {
	t       *testing.T
	set     *keys.Set
	control *control.Control
	address netip.AddrPort
	callers netip.AddrPort // of the newest balancer
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, address: netip.MustParseAddrPort("198.18.0.1:443"), callers: freeAddr(t)}
	var err error
	if f.set, err = keys.Ephemeral(time.Now()); err != nil {
		t.Fatal(err)
	}
	f.control, err = control.Start(control.Options{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Epoch: 1, Collect: 10 * time.Millisecond, Now: time.Now,
		TLS: f.identity("control").ServerTLSFor([]keys.Role{keys.Balancer, keys.Agent}, peer.Protocol), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.control.Close() })
	f.control.SetServices([]proto.Service{{
		ID: 1, Name: "desk", Mode: proto.ModeSegment, Inbound: []proto.Inbound{{Addr: f.address, Weight: 1}},
	}})
	return f
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func (f *fleet) identity(name string) *keys.Identity {
	id, err := f.set.Identity(name, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return id
}

// ring gives the packet codec the set's keys.
type ring struct{ *keys.Ring }

func (r ring) Active() (uint8, []byte) {
	k, _ := r.Ring.Active(time.Now())
	return uint8(k.ID), k.Secret[:]
}

func (r ring) Secret(uint8) ([]byte, bool) {
	_, secret := r.Active()
	return secret, true
}

var sessions uint64

func (f *fleet) common(name string) segment.Common {
	sessions++
	id := f.identity(name)
	return segment.Common{
		Name: name, Zone: "a", Control: subscribe.Fixed(f.control.Addr()), Packets: freeAddr(f.t),
		Retry:      subscribe.Retry{First: 20 * time.Millisecond, Max: 50 * time.Millisecond},
		ReturnPort: f.callers.Port(), Keys: ring{f.set.Ring}, Session: sessions, Codec: codec{}, Now: time.Now, Log: zap.NewNop(),
		TLS: func() *tls.Config { return id.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol) },
	}
}

// startBalancer starts a balancer and waits until it knows of n members.
func (f *fleet) startBalancer(n int) *segment.Balancer {
	f.t.Helper()
	b, err := segment.StartBalancer(segment.BalancerOptions{Common: f.common("balancer"), Callers: f.callers})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = b.Stop(context.Background()) })
	f.until("the balancer knows the members", func() bool { return b.Ready() && b.Available(f.address) == n })
	return b
}

// startHost starts a backend server and the agent beside it.
func (f *fleet) startHost(name string) (*host, *segment.Agent) {
	f.t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	h := &host{name: name, conn: conn, outbound: freeAddr(f.t), flows: make(map[flow.Tuple]bool)}
	go h.run()
	return h, f.startAgent(h)
}

func (f *fleet) startAgent(h *host) *segment.Agent {
	f.t.Helper()
	a, err := segment.StartAgent(segment.AgentOptions{
		Common: f.common("agent-" + h.name), Service: "desk", Backend: h.addr(), Outbound: h.outbound,
		Patience: patience, IdleTimeout: time.Minute,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = a.Stop(context.Background()) })
	return a
}

func (h *host) addr() netip.AddrPort { return netip.MustParseAddrPort(h.conn.LocalAddr().String()) }

// report returns what the backend server says of itself.
func (h *host) report(sequence uint64) segment.Instance {
	return segment.Instance{ID: h.name, Service: "desk", Address: h.addr(), Run: 1, Sequence: sequence, Slots: 4}
}

func (f *fleet) until(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("%s: not within %s", what, patience)
}

// caller is one end of flows; its packets come from any port.
type caller struct {
	f    *fleet
	addr netip.Addr
	conn *net.UDPConn
}

// newCaller returns a caller at an address of its own, at the port where callers
// take packets.
func (f *fleet) newCaller() *caller {
	f.t.Helper()
	addr := netip.AddrFrom4([4]byte{127, 0, 0, 2})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, f.callers.Port())))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &caller{f: f, addr: addr, conn: conn}
}

// once sends a packet a single time and returns what its answer carries.
func (c *caller) once(port int, data string) string {
	c.f.t.Helper()
	tuple := flow.Tuple{Caller: netip.AddrPortFrom(c.addr, uint16(port)), Service: c.f.address}
	_, _ = c.conn.WriteToUDPAddrPort(encode(tuple, routing.ACK, data), c.f.callers)
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			c.f.t.Fatalf("flow %d: no answer to a packet that was sent once: %v", port, err)
		}
		h, err := codec{}.Decode(buf[:n], segment.FromBackend)
		if err == nil && h.Tuple == tuple {
			return string(buf[testHeader:n])
		}
	}
}

// exchange sends a packet until it is answered.
func (c *caller) exchange(port int, flags routing.Flags, data string) (routing.Flags, string) {
	c.f.t.Helper()
	tuple := flow.Tuple{Caller: netip.AddrPortFrom(c.addr, uint16(port)), Service: c.f.address}
	buf := make([]byte, 2048)
	for end := time.Now().Add(patience); time.Now().Before(end); {
		_, _ = c.conn.WriteToUDPAddrPort(encode(tuple, flags, data), c.f.callers)
		_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := c.conn.Read(buf)
		if err != nil {
			continue
		}
		h, err := codec{}.Decode(buf[:n], segment.FromBackend)
		if err == nil && h.Tuple == tuple {
			return h.Flags, string(buf[testHeader:n])
		}
	}
	c.f.t.Fatal("no answer")
	return 0, ""
}

func TestFlowsOutliveBalancersAndAgents(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	hosts, agents := map[string]*host{}, map[string]*segment.Agent{}
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		hosts[name], agents[name] = f.startHost(name)
		is.NoErr(agents[name].Heard(hosts[name].report(1)))
	}
	balancer := f.startBalancer(3)
	c := f.newCaller()
	const flows = 30
	owner := make(map[int]string)
	for port := 1000; port < 1000+flows; port++ {
		flags, _ := c.exchange(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		_, owner[port] = c.exchange(port, routing.ACK, "who")
	}
	check := func(what string) {
		t.Helper()
		for port, name := range owner {
			if _, got := c.exchange(port, routing.ACK, "who"); got != name {
				t.Fatalf("%s: flow %d moved from %s to %s", what, port, name, got)
			}
		}
	}
	is.NoErr(balancer.Stop(context.Background()))
	f.startBalancer(3)
	check("after a balancer's restart")
	for name, h := range hosts {
		is.NoErr(agents[name].Stop(context.Background()))
		agents[name] = f.startAgent(h)
		is.NoErr(agents[name].Heard(h.report(2)))
		check("after an agent's restart")
	}
	total := 0
	for _, h := range hosts {
		is.True(h.held() > 0) // load was spread
		total += h.held()
	}
	is.Equal(total, flows)
}

func TestDrainingBackendServerGetsNothingNewAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	leaving, agent := f.startHost("host-1")
	is.NoErr(agent.Heard(leaving.report(1)))
	staying, other := f.startHost("host-2")
	is.NoErr(other.Heard(staying.report(1)))
	f.startBalancer(2)
	c := f.newCaller()
	last := leaving.report(2)
	last.Draining = true
	is.NoErr(agent.Heard(last)) // its agent turns new flows away before any view says so
	for port := 1000; port < 1020; port++ {
		flags, _ := c.exchange(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
	}
	is.Equal(leaving.held(), 0)
	is.Equal(staying.held(), 20)
}

func TestReportsOfEarlierRunsAreStale(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startHost("host-1")
	now := h.report(5)
	now.Run = 7
	is.NoErr(agent.Heard(now))
	earlier := h.report(9)
	is.True(agent.Heard(earlier) != nil) // of run 1
	late := now
	late.Sequence = 4
	is.True(agent.Heard(late) != nil)
	is.NoErr(agent.Heard(now)) // sent again
	elsewhere := now
	elsewhere.Address = netip.MustParseAddrPort("127.0.0.1:9")
	is.True(agent.Heard(elsewhere) != nil)
}

func TestFlowsOfAnEndedBackendServerAreReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	h, agent := f.startHost("host-1")
	is.NoErr(agent.Heard(h.report(1)))
	f.startBalancer(1)
	c := f.newCaller()
	c.exchange(1000, routing.SYN, "")
	agent.Goodbye("host-1")
	flags, _ := c.exchange(1000, routing.ACK, "who")
	is.Equal(flags, routing.RST)
}

// An agent that is gone leaves questions unanswered. The flows of others are found
// without waiting for their callers to send again.
func TestFlowsAreFoundBesideAnAgentThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	staying, agent := f.startHost("host-1")
	is.NoErr(agent.Heard(staying.report(1)))
	first := f.startBalancer(1)
	c := f.newCaller()
	const flows = 20
	for port := 1000; port < 1000+flows; port++ {
		flags, _ := c.exchange(port, routing.SYN, "")
		is.Equal(flags, routing.SYN|routing.ACK)
		c.exchange(port, routing.ACK, "who")
	}
	gone, other := f.startHost("host-2")
	is.NoErr(other.Heard(gone.report(1)))
	is.NoErr(first.Stop(context.Background()))
	f.startBalancer(2)
	is.NoErr(other.Stop(context.Background()))
	for port := 1000; port < 1000+flows; port++ {
		is.Equal(c.once(port, "who"), staying.name)
	}
}
