package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Pool keeps one connection to each peer and opens streams on it. A connection
// that has gone silent is replaced by one from a new port before an error is
// reported. It is safe for concurrent use.
type Pool struct {
	tls     func() *tls.Config
	silence time.Duration
	mu      sync.Mutex
	conns   map[netip.AddrPort]*slot
	closed  bool
}

// slot serialises the dialling of one peer.
type slot struct {
	mu   sync.Mutex
	conn *quic.Conn
}

// NewPool returns a Pool. It asks for TLS settings at each connection, so that
// renewed certificates come into use.
func NewPool(config func() *tls.Config) *Pool {
	return &Pool{tls: config, conns: make(map[netip.AddrPort]*slot)}
}

// SetSilence sets how long nothing may arrive before a connection is given up.
// Call it before the first connection.
func (p *Pool) SetSilence(d time.Duration) { p.silence = d }

// Open opens a stream of the given kind.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort, kind string) (*Stream, error) {
	return p.open(ctx, addr, kind, false)
}

// OpenFresh opens a stream on a new connection from a new port, which replaces
// the one in the pool. Streams open on the earlier one go on.
func (p *Pool) OpenFresh(ctx context.Context, addr netip.AddrPort, kind string) (*Stream, error) {
	return p.open(ctx, addr, kind, true)
}

func (p *Pool) open(ctx context.Context, addr netip.AddrPort, kind string, fresh bool) (*Stream, error) {
	conn, reused, err := p.connect(ctx, addr, fresh)
	if err != nil {
		return nil, err
	}
	stream, err := start(ctx, conn, kind)
	if err != nil && reused {
		if conn, _, err = p.connect(ctx, addr, true); err != nil {
			return nil, err
		}
		stream, err = start(ctx, conn, kind)
	}
	if err != nil {
		return nil, DialFailed.Wrap(err, "open a %s stream to %s", kind, addr)
	}
	return stream, nil
}

// connect returns a connection and whether it was made earlier.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort, fresh bool) (*quic.Conn, bool, error) {
	s, err := p.slot(addr)
	if err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && !fresh && s.conn.Context().Err() == nil {
		return s.conn, true, nil
	}
	conn, err := quic.DialAddr(ctx, addr.String(), p.tls(), transport(p.silence))
	if err != nil {
		return nil, false, DialFailed.Wrap(err, "connect to %s", addr)
	}
	s.conn = conn
	return conn, false, nil
}

func (p *Pool) slot(addr netip.AddrPort) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, DialFailed.New("connect to %s: the pool is closed", addr)
	}
	s := p.conns[addr]
	if s == nil {
		s = &slot{}
		p.conns[addr] = s
	}
	return s, nil
}

// start opens a stream and sends its kind.
func start(ctx context.Context, conn *quic.Conn, kind string) (*Stream, error) {
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stream := &Stream{Stream: raw}
	if err := stream.Send(opening{Kind: kind}); err != nil {
		return nil, err
	}
	return stream, nil
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, s := range conns {
		s.mu.Lock()
		if s.conn != nil {
			_ = s.conn.CloseWithError(closedCode, "client stops")
		}
		s.mu.Unlock()
	}
}
