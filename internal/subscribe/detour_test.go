package subscribe

import (
	"context"
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// startRefusing starts a control process that ends every subscription at once, as one
// does that has lost its disk.
func startRefusing(t *testing.T, set *keys.Set) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	identity, err := set.Identity("control", time.Now())
	is.NoErr(err)
	server, err := peer.Listen(peer.ServerOptions{
		Addr: loopback, TLS: identity.ServerTLSFor([]keys.Role{keys.Balancer}, peer.Protocol), Log: zap.NewNop(),
		Handlers: map[string]peer.Handler{proto.Subscribe: func(_ context.Context, _ keys.Info, s *peer.Stream) { s.Abort() }},
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server.Addr()
}

// The delay is longer than the test may take: a daemon that waits for it fails the test.
func TestDaemonTurnedAwayAsksTheNextControlProcessAtOnce(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	c := startControl(t, set, loopback, 1)
	c.publish(t, "desk", 1)
	control := []netip.AddrPort{c.server.Addr(), startRefusing(t, set), startRefusing(t, set)}
	identity, err := set.Identity("balancer", time.Now())
	is.NoErr(err)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} { // they begin with different ones
		pool := peer.NewPool(func() *tls.Config { return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol) })
		ctx, cancel := context.WithCancel(context.Background())
		adopted := make(chan proto.Update, 16)
		go Run(ctx, Options{
			Name: name, Control: Fixed(control...), Pool: pool, Retry: Retry{First: time.Hour, Max: time.Hour},
			Adopt: func(u proto.Update) { adopted <- u }, Now: time.Now, Log: zap.NewNop(),
		})
		select {
		case u := <-adopted:
			is.Equal(u.Services[0].Name, "desk")
		case <-time.After(patience):
			t.Fatal("nothing came in force")
		}
		cancel()
		pool.Close()
	}
}

func TestDetourEndsAfterARound(t *testing.T) {
	is := is.New(t)
	a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	control := []netip.AddrPort{a, b, c}
	var d Detour
	is.Equal(d.Order(control), control)
	is.True(d.RecordRefusal(b, control))
	is.Equal(d.Order(control), []netip.AddrPort{a, c}) // whichever answers first, not b again
	is.True(d.RecordRefusal(a, control))
	is.Equal(d.Order(control), []netip.AddrPort{c})
	is.True(!d.RecordRefusal(c, control)) // all have turned the daemon away
	is.Equal(d.Order(control), control)
	is.True(d.RecordRefusal(a, control))
	d.Reset()
	is.Equal(d.Order(control), control)
	is.True(d.RecordRefusal(a, control[:2]))
	is.True(!d.RecordRefusal(b, control[:2]))
	is.True(!d.RecordRefusal(a, control[:1]))
}
