package handover

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fakePredecessor is a Predecessor that records the calls of its methods.
type fakePredecessor struct {
	bundle Bundle
	// firstPauseErr is the error that the first call of Pause returns.
	firstPauseErr error
	calls         []string
}

func (f *fakePredecessor) Pause() (Bundle, error) {
	f.calls = append(f.calls, "pause")
	if len(f.calls) == 1 && f.firstPauseErr != nil {
		return nil, f.firstPauseErr
	}
	return f.bundle, nil
}
func (f *fakePredecessor) Resume()  { f.calls = append(f.calls, "resume") }
func (f *fakePredecessor) Release() { f.calls = append(f.calls, "release") }

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestSuccessorReceivesSocketsStateAndQueuedDatagrams(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	const sockets = 2*maxItems + 1
	predecessor := &fakePredecessor{}
	caller := listenUDP(t)
	for i := range sockets {
		conn := listenUDP(t)
		_, err := caller.WriteTo(fmt.Appendf(nil, "queued %d", i), conn.LocalAddr())
		is.NoErr(err)
		predecessor.bundle = append(predecessor.bundle, Item{Role: "agent", Name: "host", Kind: "flow", Body: fmt.Append(nil, i), Socket: conn})
	}
	predecessor.bundle = append(predecessor.bundle, Item{Role: "agent", Name: "other", Kind: "state", Body: make([]byte, maxBodyBytes)})
	long := make([]byte, 5*maxMessageBytes+1)
	for i := range long {
		long[i] = byte(i * i >> 3)
	}
	predecessor.bundle = append(predecessor.bundle, Item{Role: "balancer", Name: "b", Kind: "state", Body: long, Socket: listenUDP(t)})
	s, err := Listen(path, predecessor, zap.NewNop())
	is.NoErr(err)

	bundle, err := Receive(path)
	is.NoErr(err)
	defer bundle.Close()
	is.NoErr(s.Close())
	is.Equal(predecessor.calls, []string{"pause", "release"})
	for _, item := range predecessor.bundle {
		if item.Socket != nil {
			is.NoErr(item.Socket.Close())
		}
	}
	own, rest := bundle.Split("agent", "host")
	is.Equal(len(own), sockets)
	is.Equal(len(rest), 2)
	is.Equal(len(rest[0].Body), maxBodyBytes)
	is.Equal(rest[1].Body, long) // exceeds the length of a message
	is.True(rest[1].Socket != nil)
	buf := make([]byte, 32)
	for i, item := range own {
		is.Equal(string(item.Body), fmt.Sprint(i))
		n, _, err := item.Socket.(*net.UDPConn).ReadFrom(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), fmt.Sprintf("queued %d", i))
	}
}

func TestPredecessorResumesAfterAFailedHandover(t *testing.T) {
	errPause := Failed.New("cannot pause")
	cases := []struct {
		name        string
		predecessor *fakePredecessor
		// successor acts on the successor's connection until it is closed.
		successor func(conn *net.UnixConn)
	}{
		{"pause fails", &fakePredecessor{firstPauseErr: errPause}, func(*net.UnixConn) {}},
		{"successor closes before it confirms", &fakePredecessor{}, func(conn *net.UnixConn) {
			_, _, _ = receiveMessage(conn, make([]byte, maxMessageBytes))
		}},
		{"successor sends an invalid message", &fakePredecessor{}, func(conn *net.UnixConn) {
			_, _, _ = receiveMessage(conn, make([]byte, maxMessageBytes))
			_, _ = conn.Write([]byte("no"))
		}},
		{"successor sends a message without confirmation", &fakePredecessor{}, func(conn *net.UnixConn) {
			_, _, _ = receiveMessage(conn, make([]byte, maxMessageBytes))
			_ = sendMessage(conn, message{}, nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "handover")
			s, err := Listen(path, c.predecessor, zap.NewNop())
			is.NoErr(err)
			conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
			is.NoErr(err)
			c.successor(conn)
			is.NoErr(conn.Close())

			// The predecessor can still hand over to the next successor.
			_, err = Receive(path)
			is.NoErr(err)
			is.NoErr(s.Close())
			is.Equal(c.predecessor.calls, []string{"pause", "resume", "pause", "release"})
		})
	}
}

func TestReceiveWithoutPredecessorReturnsNoError(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	bundle, err := Receive(path)
	is.NoErr(err)
	is.Equal(len(bundle), 0)

	s, err := Listen(path, &fakePredecessor{}, zap.NewNop())
	is.NoErr(err)
	is.NoErr(s.Close())
	bundle, err = Receive(path)
	is.NoErr(err)
	is.Equal(len(bundle), 0)
}

// The successor serves once it has confirmed, so it must learn of the release even if the
// time for the pause is over by then.
func TestLateReleaseCompletesHandover(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.AcceptUnix()
		if err != nil {
			return
		}
		p := &lateRelease{conn: conn}
		_ = (&Server{predecessor: p, log: zap.NewNop()}).handOver(conn)
	}()
	bundle, err := Receive(path)
	is.NoErr(err)
	is.Equal(len(bundle), 1)
}

// lateRelease is a Predecessor that needs the rest of the time for its release.
type lateRelease struct {
	fakePredecessor
	conn *net.UnixConn
}

func (p *lateRelease) Pause() (Bundle, error) { return Bundle{{Role: "balancer", Kind: "state"}}, nil }
func (p *lateRelease) Release()               { _ = p.conn.SetDeadline(time.Unix(1, 0)) }

// A successor that comes while its predecessor starts waits for it.
func TestSuccessorWaitsForAPredecessorThatStarts(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "handover")
	l, err := Open(path)
	is.NoErr(err)
	received := make(chan Bundle, 1)
	go func() {
		bundle, _ := Receive(path)
		received <- bundle
	}()
	s := Serve(l, &fakePredecessor{bundle: Bundle{{Role: "agent", Name: "host", Kind: "state"}}}, zap.NewNop())
	is.Equal(len(<-received), 1)
	is.NoErr(s.Close())
}
