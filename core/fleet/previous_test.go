package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// movedDocument returns a document that names services 0 to n-1, with a listener that leads
// to one of them.
func movedDocument(n, current int) *Document {
	d := listenerDocument(fmt.Sprint("service-", current))
	d.Services = nil
	for i := range n {
		d.Services = append(d.Services, Service{Name: fmt.Sprint("service-", i), Mode: ModeSegment})
	}
	return d
}

// Guards against resets of flows at a service that a listener has left many moves ago: only
// time ends the search for its flows.
func TestListenerRemembersEveryPreviousServiceForAsLongAsFlowsLive(t *testing.T) {
	const moves = 40
	is := is.New(t)
	m := New()
	began := time.Unix(1_000_000, 0).UTC()
	for i := range moves + 1 {
		command := importCommand(uint64(i+1), movedDocument(moves+1, i))
		command.ProposedAt = began.Add(time.Duration(i) * time.Second)
		is.Equal(m.Apply(uint64(i+1), command).Outcome, OutcomeAccepted)
	}
	is.Equal(len(m.Document().Listeners[0].PreviousServices), moves)
	restored, err := Restore(m.Snapshot())
	is.NoErr(err)
	is.Equal(restored.Document(), m.Document())

	// The first of them has been left at 1 s, the last at 40 s.
	later := importCommand(moves+2, movedDocument(moves+1, moves))
	later.ProposedAt = began.Add(flowRetention + 20*time.Second)
	is.Equal(m.Apply(moves+2, later).Outcome, OutcomeAccepted)
	is.Equal(len(m.Document().Listeners[0].PreviousServices), moves-20)
}

// A service whose flows are kept is named no longer than they live, and one that is
// assigned again loses nothing.
func TestServiceThatIsAssignedAgainStartsAnew(t *testing.T) {
	is := is.New(t)
	m := New()
	began := time.Unix(1_000_000, 0).UTC()
	for i, current := range []int{0, 1, 0, 1} {
		command := importCommand(uint64(i+1), movedDocument(2, current))
		command.ProposedAt = began.Add(time.Duration(i) * time.Minute)
		m.Apply(uint64(i+1), command)
	}
	previous := m.Document().Listeners[0].PreviousServices
	is.Equal(previous, []PreviousService{{Service: "service-0", AssignedUntil: began.Add(3 * time.Minute)}})
	is.True(!previous[0].IsOver(began.Add(3*time.Minute + flowRetention - 1)))
	is.True(previous[0].IsOver(began.Add(3*time.Minute + flowRetention)))
}

// The state of an earlier release has names alone. Their flows may be young.
func TestPreviousServicesOfEarlierReleaseAreKept(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(1, importCommand(1, movedDocument(3, 0)))
	snapshot := m.Snapshot()
	snapshot.Document.Listeners[0].FormerNames = []string{"service-1", "service-2"}
	restored, err := Restore(snapshot)
	is.NoErr(err)
	is.Equal(previousNames(&restored.Document().Listeners[0]), []string{"service-1", "service-2"})
	command := importCommand(2, movedDocument(3, 0))
	command.ProposedAt = time.Unix(1_000_000, 0).UTC()
	is.Equal(restored.Apply(2, command).Outcome, OutcomeAccepted)
	is.Equal(restored.Document().Listeners[0].PreviousServices[1], PreviousService{Service: "service-2", AssignedUntil: command.ProposedAt})
}
