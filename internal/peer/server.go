package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/guard"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// Handler serves one stream and returns when it is done. The stream is closed
// for writing afterwards.
type Handler func(ctx context.Context, from keys.Info, s *Stream)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Addr is the UDP address to bind.
	Addr netip.AddrPort
	// TLS must ask for and check client certificates.
	TLS *tls.Config
	// Handlers by stream kind; a stream of another kind is refused.
	Handlers map[string]Handler
	// Silence is how long nothing may arrive before a connection is given up;
	// zero stands for 4 s.
	Silence time.Duration
	// Log receives one line per refused stream.
	Log *zap.Logger
}

// Server accepts connections of other processes.
type Server struct {
	options  ServerOptions
	listener *quic.Listener
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// Listen opens the socket and starts to accept.
func Listen(o ServerOptions) (*Server, error) {
	listener, err := quic.ListenAddr(o.Addr.String(), o.TLS, transport(o.Silence))
	if err != nil {
		return nil, ListenFailed.Wrap(err, "listen on %s", o.Addr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{options: o, listener: listener, cancel: cancel}
	s.tasks.Go(func() { s.accept(ctx) })
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close ends all streams and closes the socket.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.tasks.Wait()
	return err
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.tasks.Go(func() { s.serve(ctx, conn) })
	}
}

// serve accepts the streams of one connection until it ends.
func (s *Server) serve(ctx context.Context, conn *quic.Conn) {
	// Handlers read until their connection is closed, so that must happen
	// however the loop ends.
	defer func() { _ = conn.CloseWithError(closedCode, "server stops") }()
	from, err := keys.Peer(conn.ConnectionState().TLS)
	if err != nil {
		s.options.Log.Warn("Refused a connection.", zap.Error(err))
		_ = conn.CloseWithError(closedCode, "no certificate")
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.tasks.Go(func() { s.handle(conn.Context(), from, &Stream{Stream: stream}) })
	}
}

func (s *Server) handle(ctx context.Context, from keys.Info, stream *Stream) {
	var first opening
	if err := stream.Recv(&first); err != nil {
		stream.Abort()
		return
	}
	handler, ok := s.options.Handlers[first.Kind]
	if !ok {
		s.options.Log.Warn("Refused a stream of unknown kind.",
			zap.String("kind", first.Kind), zap.String("peer", from.Name))
		stream.CancelRead(refusedCode)
		stream.CancelWrite(refusedCode)
		return
	}
	if !guard.Run(s.options.Log, func() { handler(ctx, from, stream) }) {
		stream.Abort()
		return
	}
	_ = stream.Close()
}
