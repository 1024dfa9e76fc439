package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const floodReason = "water in the basement"

func evacuateCommand(zone string, expected uint64) Command {
	return Command{Kind: KindEvacuate, Zone: zone, Reason: floodReason, Author: "jiwoo", ProposedAt: startTime, ExpectedRevision: expected}
}

func endEvacuationCommand(zone string, expected uint64) Command {
	return Command{Kind: KindEndEvacuation, Zone: zone, ExpectedRevision: expected}
}

func withRequestID(id string, c Command) Command {
	c.RequestID = id
	return c
}

func evacuatedZones(m *StateMachine) string {
	var zones []string
	for _, e := range m.Evacuations() {
		zones = append(zones, e.Zone)
	}
	return strings.Join(zones, " ")
}

func TestEvacuationOutcomes(t *testing.T) {
	type step struct {
		command  Command
		outcome  Outcome
		revision uint64 // EvacuationRevision afterwards
		zones    string
	}
	begin, end := evacuateCommand, endEvacuationCommand
	tests := []struct {
		name  string
		steps []step
	}{
		{"start and end", []step{{begin("b", 0), OutcomeAccepted, 1, "b"}, {begin("a", 1), OutcomeAccepted, 2, "a b"}, {end("b", 2), OutcomeAccepted, 3, "a"}}},
		{"start repeated", []step{{begin("a", 0), OutcomeAccepted, 1, "a"}, {begin("a", 0), OutcomeAccepted, 2, "a"}, {begin("a", 2), OutcomeAccepted, 3, "a"}}},
		{"end without a start", []step{{end("a", 0), OutcomeAccepted, 1, ""}, {end("a", 7), OutcomeAccepted, 2, ""}}},
		{"late end after a repeated start", []step{{begin("a", 0), OutcomeAccepted, 1, "a"}, {begin("a", 1), OutcomeAccepted, 2, "a"}, {end("a", 1), OutcomeConflict, 2, "a"}}},
		{"late start after an end without a start", []step{{end("a", 0), OutcomeAccepted, 1, ""}, {begin("a", 0), OutcomeConflict, 1, ""}}},
		{"late end", []step{{begin("a", 0), OutcomeAccepted, 1, "a"}, {end("a", 1), OutcomeAccepted, 2, ""}, {begin("a", 2), OutcomeAccepted, 3, "a"}, {end("a", 1), OutcomeConflict, 3, "a"}}},
		{"late start", []step{{begin("a", 0), OutcomeAccepted, 1, "a"}, {end("a", 1), OutcomeAccepted, 2, ""}, {begin("a", 0), OutcomeConflict, 2, ""}}},
		{"change of another zone meanwhile", []step{{begin("a", 0), OutcomeAccepted, 1, "a"}, {begin("b", 0), OutcomeConflict, 1, "a"}}},
		{"revision of the future", []step{{begin("a", 9), OutcomeConflict, 0, ""}}},
		{"resent request", []step{{withRequestID("x", begin("a", 0)), OutcomeAccepted, 1, "a"}, {end("a", 1), OutcomeAccepted, 2, ""}, {withRequestID("x", begin("a", 0)), OutcomeAccepted, 2, ""}}},
		{"request ID reused", []step{
			{withRequestID("x", begin("a", 0)), OutcomeAccepted, 1, "a"},
			{withRequestID("x", begin("b", 0)), OutcomeRequestIDReused, 1, "a"},
			{withRequestID("x", begin("a", 1)), OutcomeRequestIDReused, 1, "a"},
			{withRequestID("x", end("a", 0)), OutcomeRequestIDReused, 1, "a"},
		}},
		{"no reason", []step{{Command{Kind: KindEvacuate, Zone: "a"}, OutcomeInvalid, 0, ""}}},
		{"short reason", []step{{Command{Kind: KindEvacuate, Zone: "a", Reason: "because"}, OutcomeInvalid, 0, ""}}},
		{"reason of two lines", []step{{Command{Kind: KindEvacuate, Zone: "a", Reason: "water in\nthe basement"}, OutcomeInvalid, 0, ""}}},
		{"long reason", []step{{Command{Kind: KindEvacuate, Zone: "a", Reason: strings.Repeat("x", maxReasonLength+1)}, OutcomeInvalid, 0, ""}}},
		{"no zone", []step{{begin("", 0), OutcomeInvalid, 0, ""}, {end("", 0), OutcomeInvalid, 0, ""}}},
		{"not a zone", []step{{begin("Sejong A", 0), OutcomeInvalid, 0, ""}, {end("../a", 0), OutcomeInvalid, 0, ""}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			for i, s := range tt.steps {
				result := m.Apply(uint64(i+1), s.command)
				is.Equal(result.Outcome, s.outcome)
				is.Equal(len(result.Problems) > 0, s.outcome == OutcomeInvalid)
				is.Equal(m.EvacuationRevision(), s.revision)
				is.Equal(evacuatedZones(m), s.zones)
				is.Equal(m.Version(), uint64(0))
			}
		})
	}
}

// No change of the document touches an evacuation, and each change of one is a revision
// that is not a version.
func TestEvacuationsSurviveChangesAndRestore(t *testing.T) {
	is := is.New(t)
	m := New()
	commands := []Command{
		{Kind: KindApply, Document: sampleDocument()},
		{Kind: KindPatch, ExpectedVersion: 1, Patch: &Patch{DeleteExceptions: []string{"a-zone"}}},
		{Kind: KindRollback, ExpectedVersion: 2, RollbackVersion: 0},
		importCommand(7, listenerDocument("order-desk")),
		importCommand(1<<63, listenerDocument("catalogue-hall")),
		{Kind: KindDrain, BackendServer: "order-desk-3"},
	}
	is.Equal(m.Apply(1, evacuateCommand("sejong-a", 0)).Revision, uint64(1))
	want := []Evacuation{{Zone: "sejong-a", Author: "jiwoo", ProposedAt: startTime, Reason: floodReason}}
	for i, c := range commands {
		result := m.Apply(uint64(i+2), c)
		is.Equal(result.Outcome, OutcomeAccepted)
		is.Equal(result.Revision, uint64(i+2))
		is.Equal(m.Evacuations(), want)
		restored, err := Restore(m.Snapshot())
		is.NoErr(err)
		is.Equal(restored.Evacuations(), want)
		is.Equal(restored.EvacuationRevision(), uint64(1))
		is.Equal(restored.Revision(), m.Revision())
	}
	version, earlier := m.Version(), m.Evacuations()
	result := m.Apply(20, endEvacuationCommand("sejong-a", 1))
	is.Equal(result, Result{Outcome: OutcomeAccepted, Version: version, Revision: 8})
	_, ok := m.Evacuation("sejong-a")
	is.True(!ok)
	is.Equal(earlier, want) // what was returned earlier is unchanged
}

func TestEvacuationsAreLimited(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range maxEvacuations {
		is.Equal(m.Apply(uint64(i+1), evacuateCommand(fmt.Sprintf("z-%d", i), uint64(i))).Outcome, OutcomeAccepted)
	}
	is.Equal(m.Apply(1000, evacuateCommand("one-more", maxEvacuations)).Outcome, OutcomeInvalid)
	is.Equal(m.Apply(1001, evacuateCommand("z-0", maxEvacuations)).Outcome, OutcomeAccepted) // a repeated start changes nothing
	is.Equal(m.Apply(1002, endEvacuationCommand("z-0", maxEvacuations+1)).Outcome, OutcomeAccepted)
	is.Equal(m.Apply(1003, evacuateCommand("one-more", maxEvacuations+2)).Outcome, OutcomeAccepted)
}
