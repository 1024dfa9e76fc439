// Package flow decides where packets go: the balancer's choice of agent and the
// agent's choice between delivering a packet and relaying it.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Tuple identifies a flow: the caller's address and the service address.
type Tuple struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Key hashes the tuple. Every process computes the same key for one flow.
func (t Tuple) Key() uint64 {
	var b [36]byte
	caller, service := t.Caller.Addr().As16(), t.Service.Addr().As16()
	copy(b[0:16], caller[:])
	copy(b[16:32], service[:])
	binary.BigEndian.PutUint16(b[32:34], t.Caller.Port())
	binary.BigEndian.PutUint16(b[34:36], t.Service.Port())
	return xxhash.Sum64(b[:])
}
