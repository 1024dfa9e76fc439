package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/keys"
)

// Limits of connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	probeTimeout  = time.Second
)

// socketMode lets only the daemon's own user connect.
const socketMode os.FileMode = 0o600

// Server serves operators.
type Server struct {
	http   *http.Server
	socket string
	remote net.Addr
	done   sync.WaitGroup
	// removed is done once the socket file is removed. The file at its path is another
	// process's from then on.
	removed sync.Once
}

// Start opens the sockets and serves until Stop.
func Start(o Options) (*Server, error) {
	s := &Server{socket: o.Socket, http: &http.Server{
		Handler:           newHandler(o),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(o.Log),
	}}
	listeners, err := s.listen(o)
	if err != nil {
		return nil, err
	}
	for _, l := range listeners {
		s.done.Go(func() {
			if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				o.Log.Error("Stopped serving operators.", zap.Error(err))
			}
		})
	}
	return s, nil
}

func (s *Server) listen(o Options) ([]net.Listener, error) {
	var listeners []net.Listener
	if o.Socket != "" {
		l, err := listenSocket(o.Socket)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	if o.Remote != "" {
		l, err := listenRemote(o.Remote, o.Identity)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		s.remote = l.Addr()
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// listenSocket opens a unix socket that no other user can connect to at any
// moment: it is bound inside a private folder and moved to path afterwards,
// which also replaces the socket of a process that died.
func listenSocket(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close()
		return nil, ErrListen.New("socket %q is in use by another process", path)
	}
	private, err := os.MkdirTemp(filepath.Dir(path), ".s")
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot open socket %q", path)
	}
	defer func() { _ = os.RemoveAll(private) }()
	bound := filepath.Join(private, "s")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: bound, Net: "unix"})
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot open socket %q", path)
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(bound, socketMode)
	if err == nil {
		err = os.Rename(bound, path)
	}
	if err != nil {
		_ = l.Close()
		return nil, ErrListen.Wrap(err, "cannot open socket %q", path)
	}
	return l, nil
}

func listenRemote(addr string, identity *keys.Identity) (net.Listener, error) {
	if identity == nil {
		return nil, ErrListen.New("remote address %s needs an identity", addr)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on %s", addr)
	}
	return tls.NewListener(l, identity.ServerTLSFor([]keys.Role{keys.Operator}, "http/1.1")), nil
}

// Remote returns the bound address for remote operators, or nil.
func (s *Server) Remote() net.Addr { return s.remote }

// Stop stops serving. Requests in flight are finished first, until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.done.Wait()
	if s.socket != "" {
		s.removed.Do(func() { _ = os.Remove(s.socket) })
	}
	return err
}
