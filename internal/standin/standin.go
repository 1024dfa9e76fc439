// Package standin provides small callers and backend servers that run in the
// calling process on loopback addresses. Tests and the embedded default use
// them in place of real ones.
package standin

import (
	"net/netip"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("standin")

var (
	// ErrAddress is returned for an address that is not on loopback.
	ErrAddress = Errors.NewType("address")
	// ErrListen is returned where a socket or a certificate cannot be made.
	ErrListen = Errors.NewType("listen")
	// ErrTransfer is returned where a download is cut, short or altered.
	ErrTransfer = Errors.NewType("transfer")
)

// anyPort is the listen address used where the options name none.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// loopback returns the address to listen on, or an error if it could be
// reached from another VM.
func loopback(addr netip.AddrPort) (netip.AddrPort, error) {
	if !addr.IsValid() {
		return anyPort, nil
	}
	if !addr.Addr().IsLoopback() {
		return addr, ErrAddress.New("address %v is not on loopback", addr)
	}
	return addr, nil
}
