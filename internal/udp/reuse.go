package udp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReusePort returns a ListenConfig whose sockets several processes may bind to
// one address.
func ReusePort() *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return withDescriptor(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
}
