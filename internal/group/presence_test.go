package group

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// A socket that takes datagrams and never answers is that of a paused process. Only one
// that nobody has is evidence of an ended process.
func TestOnlyAClosedSocketIsAbsent(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(conn.LocalAddr().String())
	is.True(!isAbsent(addr))
	is.NoErr(conn.Close())
	is.True(isAbsent(addr))
}
