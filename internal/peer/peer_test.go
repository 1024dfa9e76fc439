package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/standin"
)

const (
	echoKind = "echo"

	// patience bounds waits; it decides nothing where the code works.
	patience = 20 * time.Second
)

type note struct {
	Text string `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
}

// echo answers each note with the name in the peer's certificate.
func echo(_ context.Context, from keys.Info, s *Stream) {
	for {
		var n note
		if err := s.Recv(&n); err != nil {
			return
		}
		n.From = from.Name
		if err := s.Send(n); err != nil {
			return
		}
	}
}

func newSet(t *testing.T) *keys.Set {
	t.Helper()
	set, err := keys.Ephemeral(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func identity(t *testing.T, set *keys.Set, name string, roles ...keys.Role) *keys.Identity {
	t.Helper()
	id, err := set.Identity(name, time.Now(), roles...)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func serve(t *testing.T, set *keys.Set, silence time.Duration) *Server {
	t.Helper()
	s, err := Listen(ServerOptions{
		Addr:     netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:      identity(t, set, "server", keys.Control).ServerTLSFor([]keys.Role{keys.Agent}, Protocol),
		Handlers: map[string]Handler{echoKind: echo, faultyKind: faulty},
		Silence:  silence,
		Log:      zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// faultyKind is the kind of a stream whose handler does not cope with any message.
const faultyKind = "faulty"

func faulty(_ context.Context, _ keys.Info, s *Stream) {
	var in *note
	_ = s.Recv(&note{})
	_ = in.Text
}

func pool(t *testing.T, id *keys.Identity) *Pool {
	t.Helper()
	p := NewPool(func() *tls.Config { return id.ClientTLSFor("", []keys.Role{keys.Control}, Protocol) })
	t.Cleanup(p.Close)
	return p
}

// exchange sends one note on a new stream and returns the answer.
func exchange(ctx context.Context, p *Pool, addr netip.AddrPort) (note, error) {
	s, err := p.Open(ctx, addr, echoKind)
	if err != nil {
		return note{}, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(note{Text: "hello"}); err != nil {
		return note{}, err
	}
	var answer note
	return answer, s.Recv(&answer)
}

func TestPeersKnowEachOtherByCertificate(t *testing.T) {
	ours, others := newSet(t), newSet(t)
	server := serve(t, ours, 0)
	cases := []struct {
		name   string
		client *keys.Identity
		ok     bool
	}{
		{"right role", identity(t, ours, "host-1", keys.Agent), true},
		{"wrong role", identity(t, ours, "host-1", keys.Balancer), false},
		{"other authority", identity(t, others, "host-1", keys.Agent), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			answer, err := exchange(ctx, pool(t, c.client), server.Addr())
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(answer, note{Text: "hello", From: "host-1"})
			}
		})
	}
}

func TestBadStreamsAreRefused(t *testing.T) {
	set := newSet(t)
	server := serve(t, set, 0)
	p := pool(t, identity(t, set, "host-1", keys.Agent))
	cases := []struct {
		name string
		kind string
		send func(s *Stream) error
	}{
		{"unknown kind", "nonsense", func(*Stream) error { return nil }},
		{"length beyond the limit", echoKind, func(s *Stream) error {
			_, err := s.Write([]byte{0xff, 0xff, 0xff, 0xff})
			return err
		}},
		{"not CBOR", echoKind, func(s *Stream) error {
			_, err := s.Write([]byte{0, 0, 0, 1, 0xff})
			return err
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			s, err := p.Open(ctx, server.Addr(), c.kind)
			is.NoErr(err)
			_ = c.send(s)
			var answer note
			is.True(s.Recv(&answer) != nil)
		})
	}
	t.Run("message beyond the limit is not sent", func(t *testing.T) {
		is := is.New(t)
		s, err := p.Open(context.Background(), server.Addr(), echoKind)
		is.NoErr(err)
		is.True(s.Send(note{Text: string(make([]byte, MaxMessage))}) != nil)
		is.NoErr(s.Send(note{Text: "still whole"}))
	})
}

// A message that its handler cannot cope with ends its own stream and nothing else.
func TestFaultOfOneStreamLeavesTheOthers(t *testing.T) {
	is := is.New(t)
	set := newSet(t)
	server := serve(t, set, 0)
	p := pool(t, identity(t, set, "host-1", keys.Agent))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for range 3 {
		s, err := p.Open(ctx, server.Addr(), faultyKind)
		is.NoErr(err)
		is.NoErr(s.Send(note{Text: "anything"}))
		var answer note
		is.True(s.Recv(&answer) != nil)
		_, err = exchange(ctx, p, server.Addr())
		is.NoErr(err)
	}
}

func TestSilentConnectionIsReplacedFromANewPort(t *testing.T) {
	const silence = 500 * time.Millisecond
	is := is.New(t)
	set := newSet(t)
	server := serve(t, set, silence)
	box, err := standin.StartPath(standin.PathOptions{Target: server.Addr()})
	is.NoErr(err)
	defer box.Close()
	p := pool(t, identity(t, set, "host-1", keys.Agent))
	p.SetSilence(silence)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	held, err := p.Open(ctx, box.Addr(), echoKind)
	is.NoErr(err)
	var answer note
	is.NoErr(held.Send(note{Text: "before"}))
	is.NoErr(held.Recv(&answer))
	box.Forget()

	// The held stream ends with an error, not in silence.
	_ = held.Send(note{Text: "into silence"})
	err = held.Recv(&answer)
	var idle *quic.IdleTimeoutError
	is.True(errors.As(err, &idle))

	answer, err = exchange(ctx, p, box.Addr())
	is.NoErr(err)
	is.Equal(answer.Text, "hello")

	// A caller that can't wait for the silence asks for a fresh connection.
	box.Forget()
	fresh, err := p.OpenFresh(ctx, box.Addr(), echoKind)
	is.NoErr(err)
	is.NoErr(fresh.Send(note{Text: "fresh"}))
	is.NoErr(fresh.Recv(&answer))
	is.Equal(answer.Text, "fresh")
}
