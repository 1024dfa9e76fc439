package balancer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/proto"
)

type emptyRing struct{}

func (emptyRing) Active() (uint8, []byte)     { return 1, make([]byte, 32) }
func (emptyRing) Secret(uint8) ([]byte, bool) { return nil, false }

// startRequestBalancer starts a balancer with one service in request mode, without
// members: it answers each request with a rejection.
func startRequestBalancer(t *testing.T) (*Balancer, string) {
	t.Helper()
	is := is.New(t)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := free.Addr().String()
	is.NoErr(free.Close())
	b, err := Start(Options{
		Name: "b", Packets: netip.MustParseAddrPort("127.0.0.1:0"), TLS: func() *tls.Config { return &tls.Config{} },
		Keys: emptyRing{}, IdleDrainTime: time.Hour, Now: time.Now, Log: zap.NewNop(),
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = b.Close() })
	b.adopt(proto.Update{Services: []proto.Service{{ID: 1, Name: "desk", Mode: proto.ModeRequest, Addresses: []netip.AddrPort{netip.MustParseAddrPort(addr)}}}})
	return b, addr
}

// request sends a request on an open connection and reads the answer. It reports whether
// the answer tells the caller to close the connection.
func request(conn net.Conn, answers *bufio.Reader) (closes bool, err error) {
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: desk\r\n\r\n")); err != nil {
		return false, err
	}
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		return false, err
	}
	return answer.Close, answer.Body.Close()
}

// A request on its way on a connection that is open is answered, and its caller is told to
// use another connection next.
func TestStopAnswersRequestsOnOpenConnections(t *testing.T) {
	is := is.New(t)
	b, addr := startRequestBalancer(t)
	conn, err := net.Dial("tcp4", addr)
	is.NoErr(err)
	answers := bufio.NewReader(conn)
	closes, err := request(conn, answers)
	is.NoErr(err)
	is.True(!closes)

	stopped := make(chan error, 1)
	go func() { stopped <- b.Stop(context.Background()) }()
	for { // until no new connections are accepted
		probe, err := net.Dial("tcp4", addr)
		if err != nil {
			break
		}
		is.NoErr(probe.Close())
	}
	closes, err = request(conn, answers)
	is.NoErr(err)
	is.True(closes)
	is.NoErr(<-stopped) // the last connection is closed, so nothing is waited for
}

// Connections that are established when a stop begins are served although nothing has
// accepted them yet.
func TestStopAcceptsPendingConnections(t *testing.T) {
	is := is.New(t)
	b, addr := startRequestBalancer(t)
	const callers = 50
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp4", addr)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- b.Stop(context.Background()) }()
	for _, conn := range conns {
		_, err := request(conn, bufio.NewReader(conn))
		is.NoErr(err)
		is.NoErr(conn.Close()) // it may have been answered before the stop began
	}
	is.NoErr(<-stopped)
}
