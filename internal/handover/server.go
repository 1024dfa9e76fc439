package handover

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// exchangeLimit bounds a whole handover; the predecessor stands still for at
// most that long.
const exchangeLimit = 5 * time.Second

// Server waits for the successor of this process.
type Server struct {
	listener    *net.UnixListener
	predecessor Predecessor
	log         *zap.Logger
	tasks       sync.WaitGroup
}

// Listen opens the socket at path and serves one successor. A socket file that
// an ended process left behind is replaced.
func Listen(path string, p Predecessor, log *zap.Logger) (*Server, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, ListenFailed.Wrap(err, "remove the stale socket %q", path)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, ListenFailed.Wrap(err, "listen on %q", path)
	}
	// The successor opens a socket of its own at the same path.
	l.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return nil, ListenFailed.Wrap(err, "protect %q", path)
	}
	s := &Server{listener: l, predecessor: p, log: log}
	s.tasks.Go(s.serve)
	return s, nil
}

// Close stops waiting.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		err = s.handOver(conn)
		_ = conn.Close()
		if err == nil {
			s.log.Info("Handed over to the successor.")
			_ = s.listener.Close()
			return
		}
		s.log.Warn("A handover failed. This process goes on.", zap.Error(err))
	}
}

// handOver sends everything to a successor and leaves once it has confirmed.
func (s *Server) handOver(conn *net.UnixConn) error {
	if err := conn.SetDeadline(time.Now().Add(exchangeLimit)); err != nil {
		return Failed.Wrap(err, "set the deadline")
	}
	bundle, err := s.predecessor.Pause()
	if err == nil {
		err = exchange(conn, bundle)
	}
	if err != nil {
		s.predecessor.Resume()
		return err
	}
	s.predecessor.Release()
	// The successor may have ended meanwhile, which changes nothing here: it
	// has confirmed, so its own start decides.
	_ = send(conn, message{Confirmed: true}, nil)
	return nil
}

// exchange sends a bundle and waits for the confirmation.
func exchange(conn *net.UnixConn, bundle Bundle) error {
	for len(bundle) > 0 {
		n := batch(bundle)
		if err := send(conn, message{Items: headers(bundle[:n])}, bundle[:n]); err != nil {
			return err
		}
		bundle = bundle[n:]
	}
	if err := send(conn, message{Last: true}, nil); err != nil {
		return err
	}
	m, extra, err := receive(conn, make([]byte, maxDatagram))
	if err != nil {
		return err
	}
	extra.Close()
	if !m.Confirmed {
		return Failed.New("successor did not confirm")
	}
	return nil
}

// batch returns how many of the first items fit one message, at least one.
func batch(bundle Bundle) int {
	size := 0
	for i, item := range bundle {
		size += len(item.Body)
		if i > 0 && (i == maxItems || size > maxBodies) {
			return i
		}
	}
	return len(bundle)
}

func headers(items Bundle) []itemHeader {
	out := make([]itemHeader, len(items))
	for i, item := range items {
		out[i] = itemHeader{
			Role: item.Role, Name: item.Name, Kind: item.Kind, Body: item.Body,
			HasSocket: item.Socket != nil,
		}
	}
	return out
}
