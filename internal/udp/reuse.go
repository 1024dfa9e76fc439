package udp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReusePortConfig returns a ListenConfig that sets SO_REUSEPORT, so that several
// processes can bind the same address.
func ReusePortConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return withFD(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
}
