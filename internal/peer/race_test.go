package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/keys"
)

// deaf returns an address that takes datagrams and never answers.
func deaf(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func TestOpenAnyPassesOverWhoDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	set := newSet(t)
	server := serve(t, set, 0)
	p := pool(t, identity(t, set, "host-1", keys.Agent))
	ctx, cancel := context.WithTimeout(context.Background(), handshakeLimit)
	defer cancel() // before an attempt at a deaf address ends by itself
	s, addr, err := p.OpenAny(ctx, []netip.AddrPort{deaf(t), deaf(t), server.Addr()}, echoKind, false)
	is.NoErr(err)
	is.Equal(addr, server.Addr())
	is.NoErr(s.Send(note{Text: "hello"}))
	var answer note
	is.NoErr(s.Recv(&answer))
	is.Equal(answer.Text, "hello")
}

func TestOpenAnyEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	p := pool(t, identity(t, newSet(t), "host-1", keys.Agent))
	for _, limit := range []time.Duration{0, time.Millisecond, 2 * raceStagger} {
		// Whichever of an attempt's error and the end of the context comes first.
		for range 10 {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			_, _, err := p.OpenAny(ctx, []netip.AddrPort{deaf(t), deaf(t)}, echoKind, false)
			cancel()
			is.True(err != nil)
		}
	}
}
