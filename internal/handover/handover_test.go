package handover

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fake is a Predecessor that records what is asked of it.
type fake struct {
	bundle Bundle
	// first is the error of the first Pause.
	first error
	calls []string
}

func (f *fake) Pause() (Bundle, error) {
	f.calls = append(f.calls, "pause")
	if len(f.calls) == 1 && f.first != nil {
		return nil, f.first
	}
	return f.bundle, nil
}
func (f *fake) Resume()  { f.calls = append(f.calls, "resume") }
func (f *fake) Release() { f.calls = append(f.calls, "leave") }

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestSuccessorReceivesSocketsStateAndWaitingDatagrams(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	const sockets = 2*maxItems + 1
	f := &fake{}
	caller := listenUDP(t)
	for i := range sockets {
		conn := listenUDP(t)
		_, err := caller.WriteTo(fmt.Appendf(nil, "waiting %d", i), conn.LocalAddr())
		is.NoErr(err)
		f.bundle = append(f.bundle, Item{Role: "agent", Name: "host", Kind: "flow", Body: fmt.Append(nil, i), Socket: conn})
	}
	f.bundle = append(f.bundle, Item{Role: "agent", Name: "other", Kind: "state", Body: make([]byte, maxBodies)})
	s, err := Listen(path, f, zap.NewNop())
	is.NoErr(err)

	bundle, err := Receive(path)
	is.NoErr(err)
	defer bundle.Close()
	is.NoErr(s.Close())
	is.Equal(f.calls, []string{"pause", "leave"})
	for _, item := range f.bundle {
		if item.Socket != nil {
			is.NoErr(item.Socket.Close())
		}
	}
	flows, rest := bundle.Split("agent", "host")
	is.Equal(len(flows), sockets)
	is.Equal(len(rest), 1)
	is.Equal(len(rest[0].Body), maxBodies)
	buf := make([]byte, 32)
	for i, item := range flows {
		is.Equal(string(item.Body), fmt.Sprint(i))
		n, _, err := item.Socket.(*net.UDPConn).ReadFrom(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), fmt.Sprintf("waiting %d", i))
	}
}

func TestPredecessorGoesOnWhereAHandoverFails(t *testing.T) {
	refused := Failed.New("cannot pause")
	cases := []struct {
		name string
		fake *fake
		run  func(conn *net.UnixConn)
	}{
		{"pause fails", &fake{first: refused}, func(*net.UnixConn) {}},
		{"successor ends before it has confirmed", &fake{}, func(conn *net.UnixConn) {
			_, _, _ = receive(conn, make([]byte, maxDatagram))
		}},
		{"successor sends something else", &fake{}, func(conn *net.UnixConn) {
			_, _, _ = receive(conn, make([]byte, maxDatagram))
			_, _ = conn.Write([]byte("no"))
		}},
		{"successor does not confirm", &fake{}, func(conn *net.UnixConn) {
			_, _, _ = receive(conn, make([]byte, maxDatagram))
			_ = send(conn, message{}, nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "handover")
			s, err := Listen(path, c.fake, zap.NewNop())
			is.NoErr(err)
			conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
			is.NoErr(err)
			c.run(conn)
			is.NoErr(conn.Close())

			// The next successor finds a predecessor that is whole.
			_, err = Receive(path)
			is.NoErr(err)
			is.NoErr(s.Close())
			is.Equal(c.fake.calls, []string{"pause", "resume", "pause", "leave"})
		})
	}
}

func TestNoPredecessorIsNoError(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	bundle, err := Receive(path)
	is.NoErr(err)
	is.Equal(len(bundle), 0)

	s, err := Listen(path, &fake{}, zap.NewNop())
	is.NoErr(err)
	is.NoErr(s.Close())
	bundle, err = Receive(path)
	is.NoErr(err)
	is.Equal(len(bundle), 0)
}
