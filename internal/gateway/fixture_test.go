package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

const (
	testService = view.ServiceID(1)
	anyPort     = "127.0.0.1:0"
)

// fixture is gateways and agents over real QUIC on loopback, and their
// backend servers.
type fixture struct {
	t        *testing.T
	set      *keys.Set
	policy   Policy
	agents   []*testAgent
	gateways []*Gateway
	fronts   []*httptest.Server
	version  uint64
}

type testAgent struct {
	f       *fixture
	target  attempt.Target
	backend netip.AddrPort
	agent   *Agent
	server  *peer.Server
	pool    *peer.Pool
}

func testPolicy() Policy {
	p := DefaultPolicy()
	p.Deadline = 20 * time.Second
	p.RetryRatio = 1
	return p
}

// newFixture starts an agent before each backend server, and two gateways.
func newFixture(t *testing.T, policy Policy, backends ...netip.AddrPort) *fixture {
	t.Helper()
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, set: set, policy: policy}
	for i, b := range backends {
		a := &testAgent{f: f, target: attempt.Target{Server: fmt.Sprint("s", i), Incarnation: 1}, backend: b}
		f.agents = append(f.agents, a)
		a.start()
	}
	for i := range 2 {
		g := New(Options{
			Name: fmt.Sprint("g", i), Zone: "z0", Run: 1, Pool: f.pool(fmt.Sprint("g", i), keys.Balancer),
			Random: rand.New(rand.NewPCG(1, uint64(i))).Uint64, Now: time.Now, Log: zap.NewNop(),
		})
		f.gateways = append(f.gateways, g)
		g.SetServices([]Service{{ID: testService, Name: "desk", Policy: policy}})
		front := httptest.NewUnstartedServer(g.Handler(testService))
		front.Config = g.Server(g.Handler(testService))
		front.Start()
		f.fronts = append(f.fronts, front)
	}
	t.Cleanup(f.close)
	f.publish()
	return f
}

func (f *fixture) close() {
	for i, g := range f.gateways {
		f.fronts[i].Close()
		g.Close()
	}
	for _, a := range f.agents {
		a.stop()
	}
}

func (f *fixture) pool(name string, role keys.Role) *peer.Pool {
	id, err := f.set.Identity(name, time.Now(), role)
	if err != nil {
		f.t.Fatal(err)
	}
	p := peer.NewPool(func() *tls.Config { return id.ClientTLSFor("", []keys.Role{keys.Agent}, peer.Protocol) })
	p.SetSilence(2 * time.Second)
	f.t.Cleanup(p.Close)
	return p
}

func (a *testAgent) start() {
	id, err := a.f.set.Identity(a.target.Server, time.Now(), keys.Agent)
	if err != nil {
		a.f.t.Fatal(err)
	}
	a.pool = a.f.pool(a.target.Server, keys.Agent)
	a.agent = NewAgent(AgentOptions{
		Self: a.target, Backend: a.backend, Slots: 4, Policy: a.f.policy, ClockSkew: 10 * time.Millisecond,
		Pool: a.pool, Now: time.Now, Log: zap.NewNop(),
	})
	a.server, err = peer.Listen(peer.ServerOptions{
		Addr: netip.MustParseAddrPort(anyPort), Log: zap.NewNop(), Handlers: a.agent.Handlers(),
		TLS: id.ServerTLSFor([]keys.Role{keys.Balancer, keys.Agent}, peer.Protocol),
	})
	if err != nil {
		a.f.t.Fatal(err)
	}
}

func (a *testAgent) stop() {
	a.agent.Close()
	_ = a.server.Close()
	a.pool.Close()
}

// restart gives the agent a new incarnation, which every process learns of.
func (a *testAgent) restart() {
	a.stop()
	a.target.Incarnation++
	a.start()
	a.f.publish()
}

// publish tells every process the present view.
func (f *fixture) publish() {
	f.version++
	var members []view.BackendServer
	for i, a := range f.agents {
		members = append(members, view.BackendServer{
			ID: a.target.Server, Zone: fmt.Sprint("z", i%2), Incarnation: a.target.Incarnation, Slots: 4,
			Requests: a.server.Addr(), State: view.Ready, Weight: view.FullWeight,
		})
	}
	for _, a := range f.agents {
		a.agent.SetView(f.view(members))
	}
	for _, g := range f.gateways {
		g.SetView(f.view(members))
	}
}

func (f *fixture) view(members []view.BackendServer) *view.View {
	return view.New(testService, view.Version{Epoch: 1, Number: f.version}, append([]view.BackendServer(nil), members...))
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome string
	err     error
}

func newKey() string {
	time.Sleep(20 * time.Millisecond) // past the agents' start by more than the skew
	return uuid.Must(uuid.NewV7()).String()
}

// do sends one request through a gateway.
func (f *fixture) do(gateway int, method, path, key, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, f.fronts[gateway].URL+path, bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(KeyHeader, key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.fronts[gateway].Client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
	var p problem
	if json.Unmarshal(b, &p) == nil {
		r.outcome = p.Outcome
	}
	return r
}

// testBackend is a backend server whose handler can be replaced.
type testBackend struct {
	*httptest.Server
	mu      sync.Mutex
	handler http.HandlerFunc
	runs    map[string]int
}

func newBackendServer(t *testing.T, handler http.HandlerFunc) *testBackend {
	b := &testBackend{handler: handler, runs: make(map[string]int)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs[r.Header.Get(KeyHeader)]++
		h := b.handler
		b.mu.Unlock()
		h(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *testBackend) set(h http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handler = h
}

func (b *testBackend) addr() netip.AddrPort {
	return b.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// runs counts the runs of a key at all backends.
func runs(key string, backends ...*testBackend) int {
	n := 0
	for _, b := range backends {
		b.mu.Lock()
		n += b.runs[key]
		b.mu.Unlock()
	}
	return n
}
