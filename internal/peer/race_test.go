package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

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

func TestOpenAnyTellsWhatFailed(t *testing.T) {
	is := is.New(t)
	p := pool(t, identity(t, newSet(t), "host-1", keys.Agent))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := p.OpenAny(ctx, []netip.AddrPort{deaf(t)}, echoKind, false)
	is.True(err != nil)
}
