// Package flow decides where packets go: the balancer's choice of agent and the
// agent's choice between delivering a packet and relaying it.
//
// The agent that delivers a flow's packets owns the flow, and is the only
// authority on it. A flow without an owner is taken by the agent that the newest
// view places it on, after the agents that earlier views place it on have
// promised not to; see Ballot. Other agents hold pointers to the owner, which
// save the search for it.
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

// ID identifies a flow in tables and pointers.
type ID struct {
	// Key places the flow.
	Key uint64 `cbor:"1,keyasint"`
	// Check tells flows with equal keys apart.
	Check uint64 `cbor:"2,keyasint"`
}

const tupleSize = 36 // bytes

// Key hashes the tuple. Every process computes the same key for one flow.
func (t Tuple) Key() uint64 {
	b := t.bytes()
	return xxhash.Sum64(b[:tupleSize])
}

// ID returns the identity of the tuple's flow.
func (t Tuple) ID() ID {
	b := t.bytes()
	return ID{Key: xxhash.Sum64(b[:tupleSize]), Check: xxhash.Sum64(b[:])}
}

// bytes returns the tuple and one byte more, which makes the check's input
// differ from the key's.
func (t Tuple) bytes() (b [tupleSize + 1]byte) {
	caller, service := t.Caller.Addr().As16(), t.Service.Addr().As16()
	copy(b[0:16], caller[:])
	copy(b[16:32], service[:])
	binary.BigEndian.PutUint16(b[32:34], t.Caller.Port())
	binary.BigEndian.PutUint16(b[34:36], t.Service.Port())
	b[tupleSize] = 1
	return b
}
