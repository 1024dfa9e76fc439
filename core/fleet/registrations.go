package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// RegistrationChange adds and removes registered agents by address. In the JSON of a
// Command, it is named seats and its fields are named taken and left.
type RegistrationChange struct {
	Added   []netip.AddrPort `cbor:"1,keyasint,omitempty" json:"taken,omitempty"`
	Removed []netip.AddrPort `cbor:"2,keyasint,omitempty" json:"left,omitempty"`
}

// maxRegisteredAgents limits the registered agents of a fleet.
const maxRegisteredAgents = 1 << 18

// RegisteredAgents returns the sorted addresses of all agents whose backend servers may
// have flows. A new leader knows all backend servers once it has received announcements
// from all registered agents.
func (m *StateMachine) RegisteredAgents() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.registeredAgents), func(a, b netip.AddrPort) int { return a.Compare(b) })
}

// changeRegistrations creates neither a version nor a revision, since the change is not
// visible to operators. Agents beyond maxRegisteredAgents are not added, which the result
// reports as a problem.
func (m *StateMachine) changeRegistrations(c *RegistrationChange) Result {
	for _, addr := range c.Removed {
		delete(m.registeredAgents, addr)
	}
	result, excluded := m.newResult(OutcomeAccepted), 0
	for _, addr := range c.Added {
		if len(m.registeredAgents) >= maxRegisteredAgents {
			excluded++
			continue
		}
		m.registeredAgents[addr] = struct{}{}
	}
	if excluded > 0 {
		result.Problems = []Problem{{
			Section: "command", Key: "seats",
			Message: fmt.Sprintf("%d agents are not registered: a fleet has at most %d", excluded, maxRegisteredAgents),
		}}
	}
	return result
}

func newRegisteredAgents(list []netip.AddrPort) map[netip.AddrPort]struct{} {
	agents := make(map[netip.AddrPort]struct{}, len(list))
	for _, addr := range list {
		agents[addr] = struct{}{}
	}
	return agents
}

// validate returns the problems of the change.
func (c *RegistrationChange) validate() []Problem {
	for _, addr := range slices.Concat(c.Added, c.Removed) {
		if !addr.IsValid() {
			return []Problem{{Section: "command", Key: "seats", Message: "the address of a registered agent is invalid"}}
		}
	}
	if cmp.Or(len(c.Added), len(c.Removed)) == 0 {
		return []Problem{{Section: "command", Key: "seats", Message: "no registered agent is added or removed"}}
	}
	return nil
}
