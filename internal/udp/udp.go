// Package udp provides the datagram sockets of the daemons. A socket reports
// the destination address of each datagram and can send from a chosen source
// address, so one wildcard socket serves every address of a host.
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

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("udp")

// ListenFailed is the type of errors of opening a socket.
var ListenFailed = Errors.NewType("listen_failed")

// Options configure a socket.
type Options struct {
	// Addr is the address to bind; the unspecified address binds all.
	Addr netip.AddrPort
	// ReusePort lets several processes bind the same address.
	ReusePort bool
	// Spray is the number of sockets over which the kernel hands out the
	// datagrams of an address at random, packet by packet; 0 leaves the
	// kernel's choice by flow. It stands in for a fabric that sprays.
	Spray int
	// ReadBuffer is the kernel's receive buffer in bytes; 0 leaves the default.
	ReadBuffer int
}

// Conn is a datagram socket. It is safe for concurrent use.
type Conn struct {
	conn  *net.UDPConn
	local netip.AddrPort
}

// oobSize is room for one packet-info control message.
const oobSize = 64

// Listen opens a socket.
func Listen(o Options) (*Conn, error) {
	config := &net.ListenConfig{}
	if o.ReusePort || o.Spray > 0 {
		config = ReusePort()
	}
	pc, err := config.ListenPacket(context.Background(), "udp4", o.Addr.String())
	if err != nil {
		return nil, ListenFailed.Wrap(err, "bind %s", o.Addr)
	}
	conn := pc.(*net.UDPConn)
	if err := prepare(conn, o); err != nil {
		_ = conn.Close()
		return nil, ListenFailed.Wrap(err, "set up the socket of %s", o.Addr)
	}
	if o.ReadBuffer > 0 {
		// The kernel caps the buffer at its own limit, which is not an error.
		_ = conn.SetReadBuffer(o.ReadBuffer)
	}
	return Inherit(conn)
}

// Inherit makes a Conn of a socket that another process has opened by Listen
// and passed on.
func Inherit(conn *net.UDPConn) (*Conn, error) {
	local, ok := conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return nil, ListenFailed.New("inherited socket has the address %v", conn.LocalAddr())
	}
	return &Conn{conn: conn, local: unmap(local.AddrPort())}, nil
}

// unmap returns an IPv4 address in its short form.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// SyscallConn gives access to the socket's descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.conn.SyscallConn() }

// LongAgo is a deadline that ends a read at once.
var LongAgo = time.Unix(1, 0)

// SetDeadline ends blocked reads at a time; the zero time removes the limit.
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// Addr returns the bound address.
func (c *Conn) Addr() netip.AddrPort { return c.local }

// Close closes the socket; a blocked Read returns an error.
func (c *Conn) Close() error { return c.conn.Close() }

// Read reads one datagram into b. It returns the number of bytes and both ends.
func (c *Conn) Read(b []byte) (n int, from, to netip.AddrPort, err error) {
	var oob [oobSize]byte
	n, oobn, _, from, err := c.conn.ReadMsgUDPAddrPort(b, oob[:])
	if err != nil {
		return 0, from, to, err
	}
	to = c.local
	if ip, ok := destination(oob[:oobn]); ok {
		to = netip.AddrPortFrom(ip, c.local.Port())
	}
	return n, unmap(from), to, nil
}

// Write sends b to an address, from the socket's own address.
func (c *Conn) Write(b []byte, to netip.AddrPort) error {
	_, err := c.conn.WriteToUDPAddrPort(b, to)
	return err
}

// WriteFrom sends b to an address with the given source address, which must be
// an address of this host.
func (c *Conn) WriteFrom(b []byte, from netip.Addr, to netip.AddrPort) error {
	if c.local.Addr() == from {
		return c.Write(b, to)
	}
	var oob [oobSize]byte
	_, _, err := c.conn.WriteMsgUDPAddrPort(b, source(oob[:0], from), to)
	return err
}

// prepare sets the options of a bound socket. The kernel gives a socket its
// group when it is bound, so the spray program is attached only then.
func prepare(conn *net.UDPConn, o Options) error {
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
	return withDescriptor(raw, func(fd int) error { return spray(fd, o.Spray) })
}

// withDescriptor runs f on the socket's file descriptor.
func withDescriptor(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

// spray attaches a classic BPF program that returns a random socket index. An
// index beyond the sockets that are bound falls back to the choice by flow.
func spray(fd, sockets int) error {
	const random = 0xfffff000 + 56 // SKF_AD_OFF + SKF_AD_RANDOM
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: random},
		{Code: unix.BPF_ALU | unix.BPF_MOD | unix.BPF_K, K: uint32(sockets)},
		{Code: unix.BPF_RET | unix.BPF_A},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &filter)
}
