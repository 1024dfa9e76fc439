// Package view holds the numbered membership of a service: the backend servers
// that may serve it, their states and their weights. A View is immutable once
// published; every process that holds the same Version holds the same View.
package view

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceID names a service on the wire. The fleet never reuses an ID, so a
// packet that carries the ID of a deleted service matches nothing.
type ServiceID uint32

// Incarnation numbers one run of an agent. It grows with every restart, so a
// message meant for an earlier run is recognised and refused.
type Incarnation uint64

// Version orders views of one service. Epoch is the term of the control leader
// that published the view; Number counts within the epoch.
type Version struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than o.
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

// State is the stage of a backend server's membership.
type State uint8

// The states of a backend server, in the order they are usually passed.
const (
	Joining  State = iota // announced, not yet serving
	Warming               // takes new flows at a ramped weight
	Ready                 // takes new flows at full weight
	Draining              // keeps its flows, takes no new ones
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
	// Incarnation is the run of the agent beside the backend server.
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Packets is the agent's UDP address for envelopes.
	Packets netip.AddrPort `cbor:"4,keyasint"`
	// Requests is the agent's QUIC address for requests and streams.
	Requests netip.AddrPort `cbor:"5,keyasint"`
	State    State          `cbor:"6,keyasint"`
	// Weight is the share of new flows, relative to FullWeight. A member that
	// takes no new flows has weight 0.
	Weight uint32 `cbor:"7,keyasint"`
	// Slots is the number of requests the backend server runs at once.
	Slots uint16 `cbor:"8,keyasint"`
}

// AcceptsNewFlows reports whether new flows may be placed on b.
func (b *BackendServer) AcceptsNewFlows() bool {
	return b.Weight > 0 && (b.State == Warming || b.State == Ready)
}

// IsStable reports whether b has been serving for a while and still is, so that it
// holds what it was told under earlier versions.
func (b *BackendServer) IsStable() bool { return b.State == Ready || b.State == Draining }

// PlacementWeight returns Weight where b takes new flows, else 0.
func (b *BackendServer) PlacementWeight() uint32 {
	if b.AcceptsNewFlows() {
		return b.Weight
	}
	return 0
}

// View is the membership of one service at one version. Members are sorted by
// ID. Treat a published View as read-only.
type View struct {
	Service ServiceID       `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	Members []BackendServer `cbor:"3,keyasint"`
	// Earlier holds the placement weights of recent versions, newest first. A
	// process that starts or skips versions learns from it where the flows of
	// those versions were placed.
	Earlier []EarlierWeights `cbor:"4,keyasint,omitempty"`
	// Partial is set while members that exist may not have announced themselves
	// to the control leader yet. What is not in the view may still be there.
	Partial bool `cbor:"5,keyasint,omitempty"`

	seeds   []uint64
	targets []Target
	past    [][]Target
	resting bool
}

// EarlierWeights is the placement weights of an earlier version of a view.
type EarlierWeights struct {
	Version Version `cbor:"1,keyasint"`
	// Weights has one entry per member of the current view, in its order. A
	// member that took no new flows under Version has 0.
	Weights []uint32 `cbor:"2,keyasint"`
}

// Target is a member that takes new flows, reduced to what placement needs.
type Target struct {
	// Seed is the member's hash seed.
	Seed uint64
	// Weight is the share of new flows, relative to FullWeight; never 0.
	Weight uint32
	// Index is the member's place in View.Members.
	Index int32
}

// New returns a view of members, which it sorts by ID and keeps.
func New(service ServiceID, version Version, members []BackendServer) *View {
	v := &View{Service: service, Version: version, Members: members}
	v.Prepare()
	return v
}

// Prepare sorts the members, computes their hash seeds and lists the targets of
// placement. Call it once on a view that was decoded, and again after setting
// Earlier.
func (v *View) Prepare() {
	slices.SortFunc(v.Members, func(a, b BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	v.seeds = make([]uint64, len(v.Members))
	weights := make([]uint32, len(v.Members))
	for i := range v.Members {
		v.seeds[i] = SeedOf(v.Members[i].ID)
		weights[i] = v.Members[i].PlacementWeight()
	}
	v.targets = v.targetsOf(weights)
	v.rest()
	v.past = make([][]Target, len(v.Earlier))
	for i := range v.Earlier {
		v.past[i] = v.targetsOf(v.Earlier[i].Weights)
	}
}

func (v *View) targetsOf(weights []uint32) []Target {
	targets := make([]Target, 0, len(v.Members))
	for i, w := range weights {
		if w > 0 && i < len(v.seeds) {
			targets = append(targets, Target{Seed: v.seeds[i], Weight: w, Index: int32(i)})
		}
	}
	return targets
}

// rest makes draining members the targets where no member takes new flows, so
// that packets of the flows they keep still find their way.
func (v *View) rest() {
	if v.resting = len(v.targets) == 0; !v.resting {
		return
	}
	for i := range v.Members {
		if v.Members[i].State == Draining {
			v.targets = append(v.targets, Target{Seed: v.seeds[i], Weight: FullWeight, Index: int32(i)})
		}
	}
}

// IsDrainOnly reports whether no member takes new flows. Targets then lists the
// draining members, which keep their flows.
func (v *View) IsDrainOnly() bool { return v.resting }

// Targets returns the members that flows are placed on. Treat it as read-only.
func (v *View) Targets() []Target { return v.targets }

// EarlierTargets returns the members that took new flows under Earlier[i].
func (v *View) EarlierTargets(i int) []Target { return v.past[i] }

// SeedOf returns the hash seed of the backend server with the given ID.
func SeedOf(id string) uint64 { return xxhash.Sum64String(id) }

// IndexOfSeed returns the index of the member with the given hash seed, or -1.
func (v *View) IndexOfSeed(seed uint64) int { return slices.Index(v.seeds, seed) }

// Seed returns the hash seed of member i. It depends on the ID alone, so a
// restart does not move flows.
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

// Announcement is what an agent tells control about itself, and renews until
// its lease ends.
type Announcement struct {
	Service     string         `cbor:"1,keyasint"`
	ID          string         `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint"`
	Incarnation Incarnation    `cbor:"4,keyasint"`
	Packets     netip.AddrPort `cbor:"5,keyasint"`
	Requests    netip.AddrPort `cbor:"6,keyasint"`
	Slots       uint16         `cbor:"7,keyasint"`
	// Draining is set while the backend server asks to leave.
	Draining bool `cbor:"8,keyasint"`
	// Healthy is the agent's own finding about its backend server.
	Healthy bool `cbor:"9,keyasint"`
	// Sequence grows with every announcement of one incarnation; an older
	// or equal one is refused as a replay.
	Sequence uint64 `cbor:"10,keyasint"`
	// Load is the number of requests running or queued.
	Load uint32 `cbor:"11,keyasint"`
	// TTL is the lease asked for.
	TTL time.Duration `cbor:"12,keyasint"`
	// AdoptedVersion is the newest view version the agent has adopted, zero if none.
	AdoptedVersion Version `cbor:"13,keyasint"`
	// Flows is the number of flows the agent owns.
	Flows uint32 `cbor:"14,keyasint"`
	// BackendTracksFlows is set where the backend server itself knows its flows, so
	// that it may take new ones before its agent has adopted a view.
	BackendTracksFlows bool `cbor:"15,keyasint,omitempty"`
	// BackendDown is set where the backend server has ended, and its flows with it.
	BackendDown bool `cbor:"16,keyasint,omitempty"`
}

// Load is the number of flows that an agent owned when it announced itself.
type Load struct {
	// Seed is the hash seed of the backend server's ID.
	Seed  uint64 `cbor:"1,keyasint"`
	Flows uint32 `cbor:"2,keyasint"`
}
