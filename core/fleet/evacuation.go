package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Evacuation excludes the backend servers of an availability zone from new flows. It
// remains until an operator ends it, whatever documents are applied or imported.
type Evacuation struct {
	Zone       string    `cbor:"1,keyasint" json:"zone"`
	Author     string    `cbor:"2,keyasint" json:"author,omitempty"`
	ProposedAt time.Time `cbor:"3,keyasint" json:"at"`
	// Reason is the operator's explanation. It is mandatory.
	Reason string `cbor:"4,keyasint" json:"reason"`
}

// maxEvacuations limits the evacuations of a fleet, which every daemon receives.
const maxEvacuations = 256

// evacuations are the evacuations of a fleet, at most maxEvacuations.
type evacuations struct {
	sorted   []Evacuation // by zone; never modified in place
	revision uint64       // of the state after the latest accepted command; 0 before the first
}

func newEvacuations(list []Evacuation, revision uint64) evacuations {
	sorted := slices.Clone(list)
	for i := range sorted {
		sorted[i].ProposedAt = truncateToSeconds(sorted[i].ProposedAt)
	}
	slices.SortFunc(sorted, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return evacuations{sorted: sorted, revision: revision}
}

func (e *evacuations) find(zone string) (int, bool) {
	return slices.BinarySearchFunc(e.sorted, zone, func(e Evacuation, zone string) int {
		return cmp.Compare(e.Zone, zone)
	})
}

// Evacuations returns the evacuations, sorted by zone. Treat them as read-only.
func (m *StateMachine) Evacuations() []Evacuation { return m.evacuations.sorted }

// EvacuationRevision returns the revision of the latest accepted evacuation or end of one,
// 0 before the first.
func (m *StateMachine) EvacuationRevision() uint64 { return m.evacuations.revision }

// Evacuation returns the evacuation of an availability zone, or false if it has none.
func (m *StateMachine) Evacuation(zone string) (Evacuation, bool) {
	i, ok := m.evacuations.find(zone)
	if !ok {
		return Evacuation{}, false
	}
	return m.evacuations.sorted[i], true
}

// evacuate adds an evacuation. If the zone already has one, the command is accepted and
// only the revision grows, so that an end which was proposed before it and arrives later
// conflicts.
func (m *StateMachine) evacuate(c *Command) Result {
	i, ok := m.evacuations.find(c.Zone)
	switch {
	case ok:
		return m.setEvacuations(m.evacuations.sorted)
	case c.ExpectedRevision != m.evacuations.revision:
		return m.newResult(OutcomeConflict)
	case len(m.evacuations.sorted) >= maxEvacuations:
		return m.invalidResult(Problem{Section: "command", Key: "zone", Message: "too many evacuations; end those of zones that no longer exist"})
	}
	evacuation := Evacuation{Zone: c.Zone, Author: c.Author, ProposedAt: c.ProposedAt, Reason: c.Reason}
	return m.setEvacuations(slices.Insert(slices.Clone(m.evacuations.sorted), i, evacuation))
}

// endEvacuation removes an evacuation. If the zone has none, the command is accepted and
// only the revision grows, see evacuate.
func (m *StateMachine) endEvacuation(c *Command) Result {
	i, ok := m.evacuations.find(c.Zone)
	switch {
	case !ok:
		return m.setEvacuations(m.evacuations.sorted)
	case c.ExpectedRevision != m.evacuations.revision:
		return m.newResult(OutcomeConflict)
	}
	return m.setEvacuations(slices.Delete(slices.Clone(m.evacuations.sorted), i, i+1))
}

func (m *StateMachine) setEvacuations(sorted []Evacuation) Result {
	m.revision++
	m.evacuations = evacuations{sorted: sorted, revision: m.revision}
	return m.newResult(OutcomeAccepted)
}

// validateEvacuation returns the problems of KindEvacuate and KindEndEvacuation.
func (c *Command) validateEvacuation() (problems []Problem) {
	if !ValidName(c.Zone) {
		problems = append(problems, Problem{Section: "command", Key: "zone", Message: "not the name of an availability zone"})
	}
	if message := reasonProblem(c.Reason); c.Kind == KindEvacuate && message != "" {
		problems = append(problems, Problem{Section: "command", Key: "reason", Message: message})
	}
	return problems
}
