package flow

import (
	"net/netip"

	"fulmarmount.org/core/view"
)

// Peer names one run of an agent and where it takes packets.
type Peer struct {
	// Seed is the hash seed of the backend server's ID.
	Seed        uint64           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Addr        netip.AddrPort   `cbor:"3,keyasint"`
}

// IsZero reports whether p names no agent.
func (p Peer) IsZero() bool { return p == Peer{} }

// PeerOf returns the agent beside member i of v.
func PeerOf(v *view.View, i int) Peer {
	m := &v.Members[i]
	return Peer{Seed: v.Seed(i), Incarnation: m.Incarnation, Addr: m.Packets}
}

// PacketKind tells what the receiver of a packet is asked to do.
type PacketKind uint8

// The kinds of packet.
const (
	// Search makes the receiver the flow's home: it finds the owner, or takes
	// the flow. Balancers send it, and so do agents that deny owning a flow.
	Search PacketKind = iota
	// Query is delivered by the flow's owner. Another receiver denies it, back to
	// the home that asked.
	Query
	// Assign lends the ballot to the receiver, on which home has placed the flow.
	Assign

	kinds
)

// MaxEarlierPicks is the number of earlier picks that a balancer names at most.
const MaxEarlierPicks = 4

// EarlierPicks are earlier picks, followed by zero values.
type EarlierPicks [MaxEarlierPicks]Peer

// add appends a peer unless p holds it, and reports false if there is no room.
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

// MaxNonOwners is the number of denials that one packet carries at most.
const MaxNonOwners = 7

// Packet is the envelope of one caller datagram between processes.
type Packet struct {
	Kind    PacketKind
	Service view.ServiceID
	// Ballot is the one whose home the receiver or, for an Ask, Home is.
	Ballot Ballot
	Tuple  Tuple
	// TargetIncarnation is the run of the agent that the packet is meant for.
	TargetIncarnation view.Incarnation
	// EarlierPicks are the agents that earlier views placed the flow on, the newest
	// first; zero where there are fewer. Those in Denied may be left out.
	EarlierPicks EarlierPicks
	// EarlierPicksComplete tells that Priors holds the homes of all earlier ballots that the
	// view of Ballot knows of. A home whose own view is older takes no flow
	// otherwise.
	EarlierPicksComplete bool
	// Home is the agent that searches for the owner; set on Ask and Assign.
	Home Peer
	// SupersededHome is a home that a newer ballot has overruled and that is to promise,
	// or zero.
	SupersededHome Peer
	// PointerRequested is set on an Ask if the owner is to tell the home about itself.
	PointerRequested bool
	// NonOwners[:Denials] are the seeds of agents that do not own the flow and have
	// promised not to take it under a ballot older than Ballot.
	NonOwners     [MaxNonOwners]uint64
	NonOwnerCount uint8
	// Hops counts the agents that have relayed the packet.
	Hops uint8
}

// raise replaces the ballot by a newer one, for which no agent has promised yet.
func (p *Packet) raise(b Ballot) {
	if !b.Newer(p.Ballot) {
		return
	}
	p.Ballot, p.NonOwnerCount, p.EarlierPicksComplete = b, 0, false
}

// IsNonOwner reports whether the agent of a seed is among Denied.
func (p *Packet) IsNonOwner(seed uint64) bool {
	for _, d := range p.NonOwners[:p.NonOwnerCount] {
		if d == seed {
			return true
		}
	}
	return false
}

func (p *Packet) deny(seed uint64) {
	if p.NonOwnerCount < MaxNonOwners && !p.IsNonOwner(seed) {
		p.NonOwners[p.NonOwnerCount] = seed
		p.NonOwnerCount++
	}
}

// Verdict is what an agent does with a packet.
type Verdict uint8

// The verdicts.
const (
	// Deliver hands the datagram to the backend server.
	Deliver Verdict = iota
	// Relay sends the packet, as Receive has rewritten it, to Action.To.
	Relay
	// Drop drops the packet for Action.Reason.
	Drop
)

// DropReason tells why a packet was dropped.
type DropReason uint8

// The reasons of balancers and agents.
const (
	NoReason         DropReason = iota
	UnknownAddress              // no service has the destination address
	NoView                      // no view of the service has been adopted
	NoTarget                    // no backend server takes new flows
	WrongService                // the packet is for another service
	WrongIncarnation            // the packet is for another run of the agent
	WrongAddress                // the service no longer has the destination address
	HopLimit                    // relayed too often
	Malformed                   // a kind or field outside its range
	reasons                     // the number of reasons
)

var reasonNames = [reasons]string{
	"none", "unknown address", "no view", "no target", "wrong service",
	"wrong incarnation", "wrong address", "hop limit", "malformed",
}

// String returns the reason in lower-case words.
func (r DropReason) String() string {
	if r < reasons {
		return reasonNames[r]
	}
	return "unknown reason"
}

// Action is an agent's decision about one packet.
type Action struct {
	Verdict Verdict
	// Reason is set with Refuse.
	Reason DropReason
	// BecameOwner is set with Deliver if the agent has just taken the flow.
	BecameOwner bool
	// To is the receiver of a Relay.
	To Peer
	// PointerRecipient, unless zero, is an agent that is to be sent a pointer to Owner.
	PointerRecipient Peer
	Owner            Peer
}
