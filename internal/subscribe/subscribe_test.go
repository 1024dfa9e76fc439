package subscribe

import (
	"context"
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// patience bounds a wait that ends early where subscriptions work.
const patience = 20 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// control is a publisher on a socket.
type control struct {
	publisher *Publisher
	server    *peer.Server
	cancel    context.CancelFunc
}

func startControl(t *testing.T, set *keys.Set, addr netip.AddrPort, epoch uint64) *control {
	t.Helper()
	is := is.New(t)
	identity, err := set.Identity("control", time.Now())
	is.NoErr(err)
	c := &control{}
	c.publisher, err = NewPublisher(PublisherOptions{Epoch: epoch, Now: time.Now})
	is.NoErr(err)
	deadline := time.Now().Add(patience)
	for c.server == nil { // An earlier server's socket may take a moment to close.
		c.server, err = peer.Listen(peer.ServerOptions{
			Addr:     addr,
			TLS:      identity.ServerTLSFor([]keys.Role{keys.Balancer}, peer.Protocol),
			Handlers: map[string]peer.Handler{proto.Subscribe: c.publisher.Handle},
			Log:      zap.NewNop(),
		})
		is.True(err == nil || time.Now().Before(deadline))
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.publisher.Run(ctx)
	t.Cleanup(c.stop)
	return c
}

func (c *control) stop() {
	c.cancel()
	_ = c.server.Close()
}

func (c *control) publish(t *testing.T, name string, id view.ServiceID) {
	t.Helper()
	is.New(t).NoErr(c.publisher.Publish(func(at view.Version) (dissemination.Item, error) {
		return proto.ServiceItem(proto.Service{ID: id, Name: name}, at)
	}))
}

// follower is a subscription that hands on what comes in force.
type follower struct {
	t       *testing.T
	updates chan proto.Update
	// confirmed receives the times at which what is in force was current.
	confirmed chan time.Time
}

func startFollower(t *testing.T, set *keys.Set, only []string, control netip.AddrPort) *follower {
	t.Helper()
	identity, err := set.Identity("balancer", time.Now())
	is.New(t).NoErr(err)
	f := &follower{t: t, updates: make(chan proto.Update, 16), confirmed: make(chan time.Time, 1024)}
	pool := peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Run(ctx, Options{
			Name: "balancer", Keys: only, Control: Fixed(control), Pool: pool,
			Adopt: func(u proto.Update) { f.updates <- u }, Confirmed: func(at time.Time) { f.confirmed <- at }, Now: time.Now, Log: zap.NewNop(),
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
	})
	return f
}

func (f *follower) next() proto.Update {
	f.t.Helper()
	select {
	case u := <-f.updates:
		return u
	case <-time.After(patience):
		f.t.Fatal("nothing came in force")
		return proto.Update{}
	}
}

func TestChangesComeInForceAndSurviveTheLossOfControl(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	first := startControl(t, set, loopback, 1)
	addr := first.server.Addr()
	first.publish(t, "a", 1)
	f := startFollower(t, set, nil, addr)
	is.Equal(f.next().Services, []proto.Service{{ID: 1, Name: "a", Version: view.Version{Epoch: 1, Number: 1}}})
	first.publish(t, "b", 2)
	is.Equal(f.next().Services, []proto.Service{{ID: 2, Name: "b", Version: view.Version{Epoch: 1, Number: 2}}})
	is.NoErr(first.publisher.Delete(proto.ServiceKey("a")))
	is.Equal(f.next().Removed, []string{"a"})
	first.stop()

	second := startControl(t, set, addr, 2) // Without anything but this service.
	second.publish(t, "c", 3)
	u := f.next()
	is.Equal(u.Services, []proto.Service{{ID: 3, Name: "c", Version: view.Version{Epoch: 2, Number: 1}}})
	is.Equal(u.Removed, []string{"b"})
	for at, tries := second.publisher.Position(), 0; second.publisher.Progress(at).Applied != 1; tries++ {
		is.True(tries < 1000) // The acknowledgement arrives.
		time.Sleep(10 * time.Millisecond)
	}
}

func TestConfirmationsEndWithControl(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	before := time.Now()
	c := startControl(t, set, loopback, 1)
	c.publish(t, "a", 1)
	f := startFollower(t, set, nil, c.server.Addr())
	f.next()
	first, second := <-f.confirmed, <-f.confirmed
	is.True(first.After(before))
	is.True(second.After(first))
	c.stop()
	stopped := time.Now()
	// What is still on the way was asked for before the stop.
	for len(f.confirmed) > 0 {
		is.True((<-f.confirmed).Before(stopped))
	}
}

func TestOnlyTheKeysAskedForArrive(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	c := startControl(t, set, loopback, 1)
	c.publish(t, "a", 1)
	c.publish(t, "b", 2)
	f := startFollower(t, set, []string{proto.ServiceKey("b")}, c.server.Addr())
	is.Equal(f.next().Services, []proto.Service{{ID: 2, Name: "b", Version: view.Version{Epoch: 1, Number: 2}}})
	c.publish(t, "a", 1)
	c.publish(t, "b", 2)
	is.Equal(f.next().Services, []proto.Service{{ID: 2, Name: "b", Version: view.Version{Epoch: 1, Number: 4}}})
}
