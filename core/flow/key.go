// Package flow decides where packets go: a balancer's choice of agent, and an
// agent's choice between delivering a packet and relaying it.
//
// The agent that delivers a flow's packets owns the flow and is the only
// authority on it. The pick of a view is the agent that the view places the
// flow on. The pick of the newest view is the flow's home, which searches for
// the owner. If there is none, the home acquires the flow, after the picks of
// earlier views have promised not to acquire it; see Ballot. Other agents store
// pointers to the owner, which avoid a search for it.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Tuple identifies a flow by the caller's address and the service address.
type Tuple struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// ID identifies a flow in tables and pointers.
type ID struct {
	// Key is the hash by which the flow is placed.
	Key uint64 `cbor:"1,keyasint"`
	// Check is a second hash that distinguishes flows with equal keys.
	Check uint64 `cbor:"2,keyasint"`
}

const tupleSize = 36 // bytes

// Key returns the hash of the tuple. It is the same in every process.
func (t Tuple) Key() uint64 {
	b := t.bytes()
	return xxhash.Sum64(b[:tupleSize])
}

// ID returns the identifier of the tuple's flow.
func (t Tuple) ID() ID {
	b := t.bytes()
	return ID{Key: xxhash.Sum64(b[:tupleSize]), Check: xxhash.Sum64(b[:])}
}

// bytes encodes the tuple, followed by one byte that makes the input of Check
// differ from that of Key.
func (t Tuple) bytes() (b [tupleSize + 1]byte) {
	caller, service := t.Caller.Addr().As16(), t.Service.Addr().As16()
	copy(b[0:16], caller[:])
	copy(b[16:32], service[:])
	binary.BigEndian.PutUint16(b[32:34], t.Caller.Port())
	binary.BigEndian.PutUint16(b[34:36], t.Service.Port())
	b[tupleSize] = 1
	return b
}
