package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// startRepeatingBackend starts a backend server that answers each request with its path.
// On a connection that is used again it first sends a second copy of the answer before.
func startRepeatingBackend(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(conn)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func repeatAnswers(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests, previous := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if _, err := conn.Write([]byte(previous + answer)); err != nil || r.Close {
			return
		}
		previous = answer
	}
}

// Nothing in an answer tells which request it belongs to, so a late second copy of one
// must not find its connection in use by another caller.
func TestLateCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testPolicy(), startRepeatingBackend(t))
	for i := range 6 {
		path := fmt.Sprint("/sheet-", i)
		r := f.do(i%2, http.MethodGet, path, "", "")
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, path)
	}
}
