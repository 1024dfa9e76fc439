package standin

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// SprayOptions configures a Spray.
type SprayOptions struct {
	// Targets are the balancers' addresses for one service; datagrams go to
	// them in turn. At least one is needed.
	Targets []netip.AddrPort
	// Local is a loopback address; the zero value takes a free port.
	Local netip.AddrPort
}

// Spray is a caller's socket behind a fabric that hands every packet to the
// next balancer, whatever flow it belongs to. Towards its user it is a
// net.PacketConn on which the service has one address, the first target, so
// that an unmodified client can use it.
type Spray struct {
	conn    *net.UDPConn
	service *net.UDPAddr

	mu      sync.Mutex
	targets []netip.AddrPort
	next    int
	sent    uint64
}

var _ net.PacketConn = (*Spray)(nil)

// StartSpray opens the caller's socket.
func StartSpray(opts SprayOptions) (*Spray, error) {
	addr, err := loopback(opts.Local)
	if err != nil {
		return nil, err
	}
	s := &Spray{}
	if err := s.SetTargets(opts.Targets); err != nil {
		return nil, err
	}
	s.service = net.UDPAddrFromAddrPort(opts.Targets[0])
	if s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, ErrListen.Wrap(err, "caller on %v", addr)
	}
	return s, nil
}

// SetTargets replaces the balancers, as the fabric does once it finds one dead.
func (s *Spray) SetTargets(targets []netip.AddrPort) error {
	if len(targets) == 0 {
		return ErrAddress.New("no balancer to send to")
	}
	for _, t := range targets {
		if !t.Addr().IsLoopback() {
			return ErrAddress.New("balancer %v is not on loopback", t)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = slices.Clone(targets)
	return nil
}

// Service returns the address under which the user of the connection knows
// the service.
func (s *Spray) Service() net.Addr { return s.service }

// Addr returns the caller's address.
func (s *Spray) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Sent returns the number of datagrams sent.
func (s *Spray) Sent() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// WriteTo sends b to the next balancer; the address is ignored.
func (s *Spray) WriteTo(b []byte, _ net.Addr) (int, error) {
	return s.conn.WriteToUDPAddrPort(b, s.turn())
}

func (s *Spray) turn() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.next = (s.next + 1) % len(s.targets)
	return s.targets[s.next]
}

// ReadFrom reads the next datagram, whichever balancer it came through, and
// returns the service's address.
func (s *Spray) ReadFrom(b []byte) (int, net.Addr, error) {
	n, _, err := s.conn.ReadFromUDPAddrPort(b)
	return n, s.service, err
}

// LocalAddr implements net.PacketConn.
func (s *Spray) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *Spray) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *Spray) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *Spray) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's receive buffer, in bytes.
func (s *Spray) SetReadBuffer(bytes int) error { return s.conn.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the socket's send buffer, in bytes.
func (s *Spray) SetWriteBuffer(bytes int) error { return s.conn.SetWriteBuffer(bytes) }

// Close closes the socket.
func (s *Spray) Close() error { return s.conn.Close() }
