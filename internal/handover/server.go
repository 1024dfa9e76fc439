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

// handoverTimeout limits the exchange of messages in a handover, and thus the
// time for which the predecessor is paused.
const handoverTimeout = 5 * time.Second

// Server hands this process over to a successor that connects.
type Server struct {
	listener    *net.UnixListener
	predecessor Predecessor
	log         *zap.Logger
	tasks       sync.WaitGroup
}

// Listen opens the unix socket at path and serves successors, see Open and Serve.
func Listen(path string, p Predecessor, log *zap.Logger) (*Server, error) {
	l, err := Open(path)
	if err != nil {
		return nil, err
	}
	return Serve(l, p, log), nil
}

// Open opens the unix socket at path. Successors that connect wait until Serve. It
// replaces the stale socket file of an earlier process.
func Open(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, ListenFailed.Wrap(err, "remove the stale socket %q", path)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, ListenFailed.Wrap(err, "listen on %q", path)
	}
	// The file is not removed on Close, as the successor opens its own socket at
	// the same path.
	l.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return nil, ListenFailed.Wrap(err, "restrict the permissions of %q", path)
	}
	return l, nil
}

// Serve serves the successors that connect to l until a handover succeeds.
func Serve(l *net.UnixListener, p Predecessor, log *zap.Logger) *Server {
	s := &Server{listener: l, predecessor: p, log: log}
	s.tasks.Go(s.serve)
	return s
}

// Close closes the socket and waits for a handover in progress to end.
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
			s.log.Info("Handed this process's sockets and state over to the successor.")
			_ = s.listener.Close()
			return
		}
		s.log.Warn("Handover failed; this process resumes serving.", zap.Error(err))
	}
}

// handOver sends the bundle to a successor and releases the predecessor once the
// successor has confirmed.
func (s *Server) handOver(conn *net.UnixConn) error {
	if err := conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return Failed.Wrap(err, "set the deadline")
	}
	bundle, err := s.predecessor.Pause()
	if err == nil {
		err = sendBundle(conn, bundle)
	}
	if err != nil {
		s.predecessor.Resume()
		return err
	}
	s.predecessor.Release()
	// The deadline applies to the pause, which is over. Errors are ignored: the
	// successor has confirmed, so the handover is complete even if it has exited
	// since.
	_ = conn.SetDeadline(time.Now().Add(handoverTimeout))
	_ = sendMessage(conn, message{Confirmed: true}, nil)
	return nil
}

// sendBundle sends a bundle and waits for the successor's confirmation.
func sendBundle(conn *net.UnixConn, bundle Bundle) error {
	fragments := split(bundle)
	for len(fragments) > 0 {
		n := batchLength(fragments)
		if err := sendMessage(conn, message{Items: itemHeaders(fragments[:n])}, itemsOf(fragments[:n])); err != nil {
			return err
		}
		fragments = fragments[n:]
	}
	if err := sendMessage(conn, message{Last: true}, nil); err != nil {
		return err
	}
	m, extra, err := receiveMessage(conn, make([]byte, maxMessageBytes))
	if err != nil {
		return err
	}
	extra.Close()
	if !m.Confirmed {
		return Failed.New("successor's message is no confirmation of the bundle")
	}
	return nil
}
