// Package view defines the versioned membership of a service: its backend servers,
// their states and their weights. A View is immutable once published, and its Version
// identifies its content.
package view

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service on the wire. IDs are never reused within a fleet, so a
// packet with the ID of a deleted service matches no service.
type ServiceID uint32

// Incarnation numbers the runs of an agent. It grows with every restart, so that a
// message for an earlier run is detected and rejected.
type Incarnation uint64

// Version orders the views of one service. Epoch is the term of the control leader that
// published the view; Number counts the views of that epoch.
type Version struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 if v is older than, equal to or newer than o.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Number, o.Number)
}

// Newer reports whether v is strictly newer than o.
func (v Version) Newer(o Version) bool { return v.Compare(o) > 0 }

// String formats v as epoch.number.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// State is the state of a backend server's membership.
type State uint8

// The states of a backend server, in their usual order.
const (
	Joining  State = iota // announced, not yet serving
	Warming               // accepts new flows at a ramped weight
	Ready                 // accepts new flows at full weight
	Draining              // serves existing flows only
	Gone                  // lease expired or deregistered
)

var stateNames = [...]string{"joining", "warming", "ready", "draining", "gone"}

// String returns the state's lower-case name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// FullWeight is the weight of a ready backend server with the default capacity.
const FullWeight = 100

// BackendServer is one member of a view.
type BackendServer struct {
	// ID is unique within the fleet and survives restarts.
	ID string `cbor:"1,keyasint"`
	// Zone is the availability zone.
	Zone string `cbor:"2,keyasint"`
	// Incarnation is that of the agent beside the backend server.
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Packets is the agent's UDP address for envelopes.
	Packets netip.AddrPort `cbor:"4,keyasint"`
	// Requests is the agent's QUIC address for requests and streams.
	Requests netip.AddrPort `cbor:"5,keyasint"`
	State    State          `cbor:"6,keyasint"`
	// Weight is the share of new flows, relative to FullWeight. A member that
	// accepts no new flows has weight 0.
	Weight uint32 `cbor:"7,keyasint"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots uint16 `cbor:"8,keyasint"`
	// FirstAccepting is the number of the first view that placed new flows on this
	// incarnation. It is 0 if views of an earlier epoch may have done so.
	FirstAccepting uint64 `cbor:"9,keyasint,omitempty"`
	// AcceptingSince is the number of the view since which all views of the epoch
	// place new flows on the backend server, in whatever incarnation. It is 0 if this
	// view does not.
	AcceptingSince uint64 `cbor:"10,keyasint,omitempty"`
	// AnswersQueries is that of the agent's announcement.
	AnswersQueries bool `cbor:"15,keyasint,omitempty"`
}

// AcceptsNewFlows reports whether new flows may be placed on b.
func (b *BackendServer) AcceptsNewFlows() bool {
	return b.Weight > 0 && (b.State == Warming || b.State == Ready)
}

// IsStable reports whether b has completed its warm-up and is not gone, so that its
// agent still has the pointers it received under earlier versions.
func (b *BackendServer) IsStable() bool { return b.State == Ready || b.State == Draining }

// PlacementWeight returns Weight if b accepts new flows, else 0.
func (b *BackendServer) PlacementWeight() uint32 {
	if b.AcceptsNewFlows() {
		return b.Weight
	}
	return 0
}

// View is the membership of one service at one version. Members are sorted by ID. A
// published View is read-only.
type View struct {
	Service ServiceID       `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	Members []BackendServer `cbor:"3,keyasint"`
	// Earlier holds the placement weights of recent versions, newest first. A process
	// that starts or skips versions derives from it where the flows of those versions
	// were placed.
	Earlier []EarlierWeights `cbor:"4,keyasint,omitempty"`
	// Partial is set while existing members may not have announced themselves to the
	// control leader yet, so that the view may lack them.
	Partial bool `cbor:"5,keyasint,omitempty"`

	seeds          []uint64
	targets        []Target
	earlierTargets [][]Target
	isDrainOnly    bool
}

// EarlierWeights are the placement weights of an earlier version of a view.
type EarlierWeights struct {
	Version Version `cbor:"1,keyasint"`
	// Weights has one entry per member of the current view, in the same order. It is 0
	// for a member that accepted no new flows under Version.
	Weights []uint32 `cbor:"2,keyasint"`
}

// Target is a member that flows are placed on, reduced to the inputs of placement.
type Target struct {
	// Seed is the member's hash seed.
	Seed uint64
	// Weight is the share of new flows, relative to FullWeight; never 0.
	Weight uint32
	// Index is the member's index in View.Members.
	Index int32
}

// New returns a view of members. It sorts members by ID and keeps the slice.
func New(service ServiceID, version Version, members []BackendServer) *View {
	v := &View{Service: service, Version: version, Members: members}
	v.Prepare()
	return v
}

// Prepare sorts the members and computes their hash seeds and the placement targets.
// Call it once after decoding a view, and again after setting Earlier.
func (v *View) Prepare() {
	slices.SortFunc(v.Members, func(a, b BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	v.seeds = make([]uint64, len(v.Members))
	weights := make([]uint32, len(v.Members))
	for i := range v.Members {
		v.seeds[i] = SeedOf(v.Members[i].ID)
		weights[i] = v.Members[i].PlacementWeight()
	}
	v.targets = v.targetsByWeight(weights)
	v.setDrainOnlyTargets()
	v.earlierTargets = make([][]Target, len(v.Earlier))
	for i := range v.Earlier {
		v.earlierTargets[i] = v.targetsByWeight(v.Earlier[i].Weights)
	}
}

// targetsByWeight returns the members with a weight above 0 as targets.
func (v *View) targetsByWeight(weights []uint32) []Target {
	targets := make([]Target, 0, len(v.Members))
	for i, w := range weights {
		if w > 0 && i < len(v.seeds) {
			targets = append(targets, Target{Seed: v.seeds[i], Weight: w, Index: int32(i)})
		}
	}
	return targets
}

// setDrainOnlyTargets makes the draining members the targets if no member accepts new flows,
// so that packets of their existing flows are still routed to them.
func (v *View) setDrainOnlyTargets() {
	if v.isDrainOnly = len(v.targets) == 0; !v.isDrainOnly {
		return
	}
	for i := range v.Members {
		if v.Members[i].State == Draining {
			v.targets = append(v.targets, Target{Seed: v.seeds[i], Weight: FullWeight, Index: int32(i)})
		}
	}
}

// IsDrainOnly reports whether no member accepts new flows. Targets then returns the
// draining members, if any.
func (v *View) IsDrainOnly() bool { return v.isDrainOnly }

// Targets returns the members that flows are placed on. The slice is read-only.
func (v *View) Targets() []Target { return v.targets }

// EarlierTargets returns the members that accepted new flows under Earlier[i].
func (v *View) EarlierTargets(i int) []Target { return v.earlierTargets[i] }

// SeedOf returns the hash seed of the backend server with the given ID.
func SeedOf(id string) uint64 { return xxhash.Sum64String(id) }

// IndexOfSeed returns the index of the member with the given hash seed, or -1.
func (v *View) IndexOfSeed(seed uint64) int { return slices.Index(v.seeds, seed) }

// Seed returns the hash seed of member i. It depends only on the ID, so a restart does
// not change the placement of flows.
func (v *View) Seed(i int) uint64 { return v.seeds[i] }

// IndexOf returns the index of the member with the given ID, or -1.
func (v *View) IndexOf(id string) int {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(b BackendServer, id string) int {
		return cmp.Compare(b.ID, id)
	})
	if !ok {
		return -1
	}
	return i
}

// Announcement is an agent's report of its state to the control leader. It renews the
// agent's lease.
type Announcement struct {
	Service     string         `cbor:"1,keyasint"`
	ID          string         `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint"`
	Incarnation Incarnation    `cbor:"4,keyasint"`
	Packets     netip.AddrPort `cbor:"5,keyasint"`
	Requests    netip.AddrPort `cbor:"6,keyasint"`
	Slots       uint16         `cbor:"7,keyasint"`
	// Draining is set while the backend server requests to be drained.
	Draining bool `cbor:"8,keyasint"`
	// Healthy is the result of the agent's health check of its backend server.
	Healthy bool `cbor:"9,keyasint"`
	// Sequence grows with every announcement of one incarnation. The control leader
	// rejects an announcement that is not newer than the last one as a replay.
	Sequence uint64 `cbor:"10,keyasint"`
	// Load is the number of running and queued requests.
	Load uint32 `cbor:"11,keyasint"`
	// TTL is the requested duration of the lease.
	TTL time.Duration `cbor:"12,keyasint"`
	// AdoptedVersion is the newest view version that the agent has adopted, or zero.
	AdoptedVersion Version `cbor:"13,keyasint"`
	// Flows is the number of flows that the agent owns.
	Flows uint32 `cbor:"14,keyasint"`
	// BackendTracksFlows is set if the backend server itself records which flows it
	// owns, so that it may accept new ones before its agent has adopted a view.
	BackendTracksFlows bool `cbor:"15,keyasint,omitempty"`
	// BackendDown is set if the backend server is down and its flows are lost.
	BackendDown bool `cbor:"16,keyasint,omitempty"`
	// Unlisted is set while no view can have listed this incarnation, so that no flow
	// was placed on it.
	Unlisted bool `cbor:"17,keyasint,omitempty"`
	// StartedWithAgent is set while only an earlier process of the agent can have placed
	// flows on this incarnation: the backend server started just before the agent's process.
	StartedWithAgent bool `cbor:"24,keyasint,omitempty"`
	// AnswersQueries is set if the agent tells whether its backend server owns a flow
	// without a packet of the flow.
	AnswersQueries bool `cbor:"23,keyasint,omitempty"`
}

// Load is the load by which agents place new flows: the number of flows that an agent
// owned at its last announcement.
type Load struct {
	// Seed is the hash seed of the backend server's ID.
	Seed  uint64 `cbor:"1,keyasint"`
	Flows uint32 `cbor:"2,keyasint"`
}
