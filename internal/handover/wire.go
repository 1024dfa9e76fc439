package handover

import (
	"net"
	"os"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Socket is a socket whose descriptor can be passed: a connection of package
// net.
type Socket interface {
	syscall.Conn
	Close() error
}

// message is one datagram of the handover. Each item that has a socket stands
// for the next descriptor that came with the datagram.
type message struct {
	Items []itemHeader `cbor:"1,keyasint,omitempty"`
	// Last marks the end of the bundle.
	Last bool `cbor:"2,keyasint,omitempty"`
	// Confirmed is the successor's word that it holds the whole bundle.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

type itemHeader struct {
	Role      string `cbor:"1,keyasint"`
	Name      string `cbor:"2,keyasint"`
	Kind      string `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint,omitempty"`
	HasSocket bool   `cbor:"5,keyasint,omitempty"`
}

const (
	// maxItems bounds the items in one datagram; the kernel passes at most
	// 253 descriptors at once.
	maxItems = 128
	// maxBodies bounds the state in one datagram, in bytes.
	maxBodies = 64 << 10
	// maxDatagram is the length of a receive buffer in bytes.
	maxDatagram = 128 << 10
)

// send writes one message with the descriptors of its items.
func send(conn *net.UnixConn, m message, items Bundle) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return Failed.Wrap(err, "encode a message of %d items", len(m.Items))
	}
	if len(body) > maxDatagram {
		return Failed.New("message of %d bytes is longer than %d", len(body), maxDatagram)
	}
	return withDescriptors(items, nil, func(fds []int) error {
		var oob []byte
		if len(fds) > 0 {
			oob = unix.UnixRights(fds...)
		}
		if _, _, err := conn.WriteMsgUnix(body, oob, nil); err != nil {
			return Failed.Wrap(err, "send a message of %d bytes", len(body))
		}
		return nil
	})
}

// withDescriptors calls f with the descriptors of the items that have one. It
// holds all of them at once, so that none is closed and reused meanwhile. It
// does not use os.File, which would turn the sockets to blocking mode.
func withDescriptors(items Bundle, fds []int, f func([]int) error) error {
	if len(items) == 0 {
		return f(fds)
	}
	first, rest := items[0], items[1:]
	if first.Socket == nil {
		return withDescriptors(rest, fds, f)
	}
	raw, err := first.Socket.SyscallConn()
	if err != nil {
		return Failed.Wrap(err, "socket %q of %s %q", first.Kind, first.Role, first.Name)
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = withDescriptors(rest, append(fds, int(fd)), f) })
	if err != nil {
		return Failed.Wrap(err, "socket %q of %s %q", first.Kind, first.Role, first.Name)
	}
	return inner
}

// receive reads one message and makes its items.
func receive(conn *net.UnixConn, buf []byte) (message, Bundle, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxItems))
	n, oobn, flags, _, err := conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return message{}, nil, Failed.Wrap(err, "receive a message")
	}
	files, err := descriptors(oob[:oobn])
	if err != nil {
		return message{}, nil, err
	}
	var m message
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeFiles(files)
		return m, nil, Failed.New("a message of more than %d bytes or %d descriptors was cut", len(buf), maxItems)
	}
	if err := cbor.Unmarshal(buf[:n], &m); err != nil {
		closeFiles(files)
		return m, nil, Failed.Wrap(err, "decode a message of %d bytes", n)
	}
	items, err := m.bundle(files)
	return m, items, err
}

func descriptors(oob []byte) ([]*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, Failed.Wrap(err, "parse control messages")
	}
	var files []*os.File
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			closeFiles(files)
			return nil, Failed.Wrap(err, "parse descriptors")
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handover"))
		}
	}
	return files, nil
}

// bundle pairs the items of m with the files that came with it. It closes the
// files.
func (m *message) bundle(files []*os.File) (Bundle, error) {
	defer closeFiles(files)
	var out Bundle
	next := 0
	for _, h := range m.Items {
		item := Item{Role: h.Role, Name: h.Name, Kind: h.Kind, Body: h.Body}
		if h.HasSocket {
			if next == len(files) {
				out.Close()
				return nil, Failed.New("message has %d descriptors, fewer than its items", len(files))
			}
			s, err := socket(files[next])
			if err != nil {
				out.Close()
				return nil, Failed.Wrap(err, "socket %q of %s %q", h.Kind, h.Role, h.Name)
			}
			item.Socket = s
			next++
		}
		out = append(out, item)
	}
	return out, nil
}

// socket makes a connection or listener of package net of a descriptor.
func socket(f *os.File) (Socket, error) {
	if pc, err := net.FilePacketConn(f); err == nil {
		return pc.(Socket), nil
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return l.(Socket), nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}
