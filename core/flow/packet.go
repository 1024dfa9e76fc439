package flow

import (
	"net/netip"

	"fulmarmount.org/core/view"
)

// Peer identifies one run of an agent and its address for packets.
type Peer struct {
	// Seed is the hash seed of the backend server's ID.
	Seed        uint64           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Addr        netip.AddrPort   `cbor:"3,keyasint"`
}

// IsZero reports whether p identifies no agent.
func (p Peer) IsZero() bool { return p == Peer{} }

// PeerOf returns the agent of member i of v.
func PeerOf(v *view.View, i int) Peer {
	m := &v.Members[i]
	return Peer{Seed: v.Seed(i), Incarnation: m.Incarnation, Addr: m.Packets}
}

// PacketKind is the operation that a packet requests from its receiver.
type PacketKind uint8

// The kinds of packet.
const (
	// Search makes the receiver the flow's home: it finds the owner, or
	// acquires the flow. It is sent by balancers, and by agents that return a
	// flow that they do not own to its home.
	Search PacketKind = iota
	// Query is delivered by the flow's owner. Any other receiver forwards it
	// along its pointer, or returns it to the home as a Search.
	Query
	// Assign delegates the ballot to the receiver, on which the home places the
	// flow.
	Assign

	kindCount
)

// MaxEarlierPicks is the maximum number of earlier picks in one packet.
const MaxEarlierPicks = 4

// EarlierPicks are the agents that earlier views placed a flow on, followed by
// zero values.
type EarlierPicks [MaxEarlierPicks]Peer

// add appends a peer unless p contains its agent, and returns false if p is
// full.
func (p *EarlierPicks) add(peer Peer) bool {
	for i := range p {
		if p[i].Seed == peer.Seed {
			return true
		}
		if p[i].IsZero() {
			p[i] = peer
			return true
		}
	}
	return false
}

// MaxNonOwners is the maximum number of non-owners in one packet.
const MaxNonOwners = 7

// Packet is the envelope of one caller datagram between processes.
type Packet struct {
	Kind    PacketKind
	Service view.ServiceID
	// Ballot is the ballot whose home is the receiver or, for a Query, the
	// agent in Home.
	Ballot Ballot
	Tuple  Tuple
	// TargetIncarnation is the run of the receiving agent that the packet is
	// meant for.
	TargetIncarnation view.Incarnation
	// EarlierPicks are the agents that earlier views placed the flow on, newest
	// first. Agents in NonOwners may be omitted.
	EarlierPicks EarlierPicks
	// EarlierPicksComplete is set if EarlierPicks contains the homes of all
	// earlier ballots that the view of Ballot lists. Otherwise a home whose own
	// view is older does not acquire the flow.
	EarlierPicksComplete bool
	// Home is the agent that searches for the owner; set on Query and Assign.
	Home Peer
	// SupersededHome is a home whose search was redirected to the home of a
	// newer ballot and whose promise is still required, or zero.
	SupersededHome Peer
	// PointerRequested is set on a Query if the owner, or an agent with a
	// pointer to it, sends the home a pointer.
	PointerRequested bool
	// NonOwners[:NonOwnerCount] are the seeds of agents that do not own the
	// flow and have promised not to acquire it under a ballot older than
	// Ballot.
	NonOwners     [MaxNonOwners]uint64
	NonOwnerCount uint8
	// Hops is the number of times that agents have relayed the packet.
	Hops uint8
}

// raiseBallot replaces the ballot by a newer one, for which no agent has
// promised yet. It does nothing if b is not newer.
func (p *Packet) raiseBallot(b Ballot) {
	if !b.Newer(p.Ballot) {
		return
	}
	p.Ballot, p.NonOwnerCount, p.EarlierPicksComplete = b, 0, false
}

// IsNonOwner reports whether the agent with the given seed is in NonOwners.
func (p *Packet) IsNonOwner(seed uint64) bool {
	for _, nonOwner := range p.NonOwners[:p.NonOwnerCount] {
		if nonOwner == seed {
			return true
		}
	}
	return false
}

func (p *Packet) addNonOwner(seed uint64) {
	if p.NonOwnerCount < MaxNonOwners && !p.IsNonOwner(seed) {
		p.NonOwners[p.NonOwnerCount] = seed
		p.NonOwnerCount++
	}
}

// Verdict is an agent's decision on a packet.
type Verdict uint8

// The verdicts of an agent.
const (
	// Deliver passes the datagram to the backend server.
	Deliver Verdict = iota
	// Relay sends the packet, as Receive has rewritten it, to Action.To.
	Relay
	// Drop discards the packet for Action.Reason.
	Drop
)

// DropReason is the reason why a packet was dropped.
type DropReason uint8

// The drop reasons of balancers and agents.
const (
	NoReason         DropReason = iota
	UnknownAddress              // no service has the destination address
	NoView                      // no view of the service has been adopted
	NoTarget                    // no backend server takes new flows
	WrongService                // the packet is for another service
	WrongIncarnation            // the packet is for another run of the agent
	WrongAddress                // the service does not have the destination address
	HopLimit                    // relayed too many times
	Malformed                   // kind or field out of range
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "unknown address", "no view", "no target", "wrong service",
	"wrong incarnation", "wrong address", "hop limit", "malformed",
}

// String returns the reason in lower-case words.
func (r DropReason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown reason"
}

// Action is an agent's decision on one packet.
type Action struct {
	Verdict Verdict
	// Reason is set with Drop.
	Reason DropReason
	// BecameOwner is set with Deliver if the agent acquired the flow with this
	// packet.
	BecameOwner bool
	// To is the next receiver; set with Relay.
	To Peer
	// PointerRecipient, unless zero, is the agent to send a pointer to Owner
	// to.
	PointerRecipient Peer
	Owner            Peer
}
