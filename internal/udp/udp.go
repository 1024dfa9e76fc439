// Package udp provides the datagram sockets of the daemons. A socket reports
// the destination address of each datagram and can send from a chosen source
// address, so one wildcard socket serves every address of a VM.
package udp

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("udp")

// ErrListen is the error type for sockets that cannot be opened.
var ErrListen = Errors.NewType("listen_failed")

// Options configure a socket.
type Options struct {
	// Addr is the address to bind; the unspecified address binds all addresses.
	Addr netip.AddrPort
	// ReusePort allows several processes to bind the same address.
	ReusePort bool
	// Spray is the number of sockets over which the kernel distributes the
	// datagrams of an address at random, packet by packet; 0 keeps the kernel's
	// distribution by flow. It emulates a fabric that sprays packets.
	Spray int
	// ReadBuffer is the size of the kernel's receive buffer in bytes; 0 keeps the
	// default.
	ReadBuffer int
}

// Conn is a datagram socket. It is safe for concurrent use.
type Conn struct {
	conn  *net.UDPConn
	local netip.AddrPort
}

// oobSize is the size in bytes of a buffer for one IP_PKTINFO control message.
const oobSize = 64

// Listen opens a socket.
func Listen(o Options) (*Conn, error) {
	config := &net.ListenConfig{}
	if o.ReusePort || o.Spray > 0 {
		config = ReusePortConfig()
	}
	pc, err := config.ListenPacket(context.Background(), "udp4", o.Addr.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot bind %s", o.Addr)
	}
	conn := pc.(*net.UDPConn)
	if err := setOptions(conn, o); err != nil {
		_ = conn.Close()
		return nil, ErrListen.Wrap(err, "cannot set the options of the socket at %s", o.Addr)
	}
	if o.ReadBuffer > 0 {
		// The kernel caps the buffer at its own limit, which is not an error.
		_ = conn.SetReadBuffer(o.ReadBuffer)
	}
	return NewConn(conn)
}

// NewConn returns a Conn for a socket that was opened by Listen, in this process
// or in one that has handed the socket over.
func NewConn(conn *net.UDPConn) (*Conn, error) {
	local, ok := conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return nil, ErrListen.New("socket has the local address %v, not a UDP address", conn.LocalAddr())
	}
	return &Conn{conn: conn, local: unmap(local.AddrPort())}, nil
}

// unmap converts an IPv4-mapped IPv6 address to IPv4.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// SyscallConn returns the raw connection of the socket's file descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.conn.SyscallConn() }

// ExpiredDeadline is a deadline in the past; it makes a blocked read return
// immediately.
var ExpiredDeadline = time.Unix(1, 0)

// SetDeadline sets the deadline of reads; the zero time removes it. Writes have no
// deadline.
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// Addr returns the bound address.
func (c *Conn) Addr() netip.AddrPort { return c.local }

// Close closes the socket; a blocked Read returns an error.
func (c *Conn) Close() error { return c.conn.Close() }

// Read reads one datagram into b. It returns the number of bytes, the source
// address and the destination address.
func (c *Conn) Read(b []byte) (n int, from, to netip.AddrPort, err error) {
	var oob [oobSize]byte
	n, oobn, _, from, err := c.conn.ReadMsgUDPAddrPort(b, oob[:])
	if err != nil {
		return 0, from, to, err
	}
	to = c.local
	if ip, ok := parseDestination(oob[:oobn]); ok {
		to = netip.AddrPortFrom(ip, c.local.Port())
	}
	return n, unmap(from), to, nil
}

// Write sends b from the bound address.
func (c *Conn) Write(b []byte, to netip.AddrPort) error {
	_, err := c.conn.WriteToUDPAddrPort(b, to)
	return err
}

// WriteFrom sends b with the given source address, which must be an address of
// this VM.
func (c *Conn) WriteFrom(b []byte, from netip.Addr, to netip.AddrPort) error {
	if c.local.Addr() == from {
		return c.Write(b, to)
	}
	var oob [oobSize]byte
	_, _, err := c.conn.WriteMsgUDPAddrPort(b, appendSource(oob[:0], from), to)
	return err
}

// setOptions sets the options of a bound socket. The kernel adds a socket to its
// SO_REUSEPORT group on bind, so the spray program can be attached only then.
func setOptions(conn *net.UDPConn, o Options) error {
	if err := ipv4.NewPacketConn(conn).SetControlMessage(ipv4.FlagDst, true); err != nil {
		return err
	}
	if o.Spray < 2 {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return withFD(raw, func(fd int) error { return attachSpray(fd, o.Spray) })
}

// withFD calls f with the socket's file descriptor.
func withFD(raw syscall.RawConn, f func(fd int) error) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = f(int(fd)) }); err != nil {
		return err
	}
	return optionErr
}

// attachSpray attaches a classic BPF program that returns a random socket index.
// If fewer sockets are bound, the kernel distributes by flow for an index beyond
// them.
func attachSpray(fd, sockets int) error {
	const random = 0xfffff000 + 56 // SKF_AD_OFF + SKF_AD_RANDOM
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: random},
		{Code: unix.BPF_ALU | unix.BPF_MOD | unix.BPF_K, K: uint32(sockets)},
		{Code: unix.BPF_RET | unix.BPF_A},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &filter)
}
