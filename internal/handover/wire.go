package handover

import (
	"net"
	"os"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Socket is a socket whose descriptor can be transferred: a connection or
// listener of package net.
type Socket interface {
	syscall.Conn
	Close() error
}

// message is a datagram of the handover. The items with a socket correspond, in
// order, to the descriptors sent with the datagram.
type message struct {
	Items []itemHeader `cbor:"1,keyasint,omitempty"`
	// Last marks the end of the bundle.
	Last bool `cbor:"2,keyasint,omitempty"`
	// Confirmed is set by the successor once it holds the whole bundle, and by the
	// predecessor once it has released its sockets.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

type itemHeader struct {
	Role      string `cbor:"1,keyasint"`
	Name      string `cbor:"2,keyasint"`
	Kind      string `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint,omitempty"`
	HasSocket bool   `cbor:"5,keyasint,omitempty"`
	// Continues is set if the body continues in the next item.
	Continues bool `cbor:"6,keyasint,omitempty"`
}

const (
	// maxItems limits the items in one datagram; the kernel transfers at most 253
	// descriptors at once.
	maxItems = 128
	// maxBodyBytes limits the state in a datagram, in bytes.
	maxBodyBytes = 64 << 10
	// maxMessageBytes is the maximum length of a datagram, and the length of a
	// receive buffer, in bytes.
	maxMessageBytes = 128 << 10
)

// sendMessage sends a message with the descriptors of its items.
func sendMessage(conn *net.UnixConn, m message, items Bundle) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return Failed.Wrap(err, "encode a message of %d items", len(m.Items))
	}
	if len(body) > maxMessageBytes {
		return Failed.New("encoded message of %d bytes exceeds the limit of %d bytes", len(body), maxMessageBytes)
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

// withDescriptors calls f with the descriptors of the items that have a socket.
// All sockets stay locked during the call, so that no descriptor is closed and
// reused. It does not use os.File, which would set the sockets to blocking mode.
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

// receiveMessage receives a message and its items.
func receiveMessage(conn *net.UnixConn, buf []byte) (message, Bundle, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxItems))
	n, oobn, flags, _, err := conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return message{}, nil, Failed.Wrap(err, "receive a message")
	}
	files, err := parseDescriptors(oob[:oobn])
	if err != nil {
		return message{}, nil, err
	}
	var m message
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeFiles(files)
		return m, nil, Failed.New("message was truncated: it exceeds %d bytes or %d descriptors", len(buf), maxItems)
	}
	if err := cbor.Unmarshal(buf[:n], &m); err != nil {
		closeFiles(files)
		return m, nil, Failed.Wrap(err, "decode a message of %d bytes", n)
	}
	items, err := m.bundle(files)
	return m, items, err
}

func parseDescriptors(oob []byte) ([]*os.File, error) {
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

// bundle pairs the items of m with the files of the descriptors received with it.
// It closes the files.
func (m *message) bundle(files []*os.File) (Bundle, error) {
	defer closeFiles(files)
	var out Bundle
	next := 0
	for _, h := range m.Items {
		item := Item{Role: h.Role, Name: h.Name, Kind: h.Kind, Body: h.Body}
		if h.HasSocket {
			if next == len(files) {
				out.Close()
				return nil, Failed.New("message has %d descriptors, fewer than its items with a socket", len(files))
			}
			s, err := newSocket(files[next])
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

// newSocket converts a descriptor to a connection or listener of package net.
func newSocket(f *os.File) (Socket, error) {
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
