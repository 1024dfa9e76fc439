package announce

import (
	"context"
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// patience bounds a wait that ends early where announcements work.
const patience = 20 * time.Second

// startControl starts a control process whose handshakes take longer by a delay.
func startControl(t *testing.T, set *keys.Set, handle peer.Handler, delay time.Duration) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	identity, err := set.Identity("control", time.Now())
	is.NoErr(err)
	config := identity.ServerTLSFor([]keys.Role{keys.Agent}, peer.Protocol)
	configFor := config.GetConfigForClient
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		time.Sleep(delay)
		return configFor(hello)
	}
	server, err := peer.Listen(peer.ServerOptions{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config, Log: zap.NewNop(),
		Handlers: map[string]peer.Handler{proto.Announce: handle},
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server.Addr()
}

func refuse(_ context.Context, _ keys.Info, s *peer.Stream) { s.Abort() }

func accept(_ context.Context, _ keys.Info, s *peer.Stream) {
	var a view.Announcement
	for s.Recv(&a) == nil {
		_ = s.Send(proto.AnnounceReply{Accepted: true, Lease: time.Hour})
	}
}

// The delay is longer than the test may take: an agent that waits for it fails the test.
func TestAgentTurnedAwayAsksTheNextControlProcessAtOnce(t *testing.T) {
	testTurnedAway(t, 0)
}

// Others answer sooner than the only control process that serves. An agent that asks them
// again and again never reaches it.
func TestAgentTurnedAwayReachesASlowControlProcess(t *testing.T) {
	testTurnedAway(t, 400*time.Millisecond)
}

func testTurnedAway(t *testing.T, delay time.Duration) {
	t.Helper()
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	control := []netip.AddrPort{startControl(t, set, accept, delay), startControl(t, set, refuse, 0), startControl(t, set, refuse, 0)}
	identity, err := set.Identity("agent", time.Now())
	is.NoErr(err)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} { // they begin with different ones
		pool := peer.NewPool(func() *tls.Config { return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol) })
		ctx, cancel := context.WithCancel(context.Background())
		accepted := make(chan bool, 1)
		go Run(ctx, Options{
			Name: name, Control: subscribe.Fixed(control...), Pool: pool, Retry: subscribe.Retry{First: time.Hour, Max: time.Hour},
			Next:     func() (view.Announcement, bool) { return view.Announcement{ID: name}, true },
			Answered: func(_ view.Announcement, r proto.AnnounceReply) { accepted <- r.Accepted }, Log: zap.NewNop(),
		})
		select {
		case ok := <-accepted:
			is.True(ok)
		case <-time.After(patience):
			t.Fatal("no announcement was accepted")
		}
		cancel()
		pool.Close()
	}
}
