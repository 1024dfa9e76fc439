package fleetstore

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
)

const reason = "water in the basement"

// meddlingLog runs a function after each barrier, and before the first proposal.
type meddlingLog struct {
	*LocalLog
	afterBarrier, beforeProposal func()
	proposals                    int
}

func (l *meddlingLog) Barrier(ctx context.Context) error {
	if l.afterBarrier != nil {
		defer l.afterBarrier()
	}
	return l.LocalLog.Barrier(ctx)
}

func (l *meddlingLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.proposals++
	if l.proposals == 1 && l.beforeProposal != nil {
		l.beforeProposal()
	}
	return l.LocalLog.Propose(ctx, command)
}

// newEvacuationStores returns two stores of one state; the first one's log meddles.
func newEvacuationStores() (*EvacuationStore, *meddlingLog, *EvacuationStore, *StateMachine) {
	machine := NewStateMachine()
	local := NewLocalLog(machine)
	log := &meddlingLog{LocalLog: local}
	now := func() time.Time { return time.Unix(1_800_000_000, 0) }
	return NewEvacuationStore(NewStore(log, machine), "control-1", now), log,
		NewEvacuationStore(NewStore(local, machine), "control-2", now), machine
}

func TestEvacuationsOfUnnumberedCalls(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name      string
		before    func(other *EvacuationStore) // before the call
		meanwhile func(other *EvacuationStore) // between the reading and the proposal
		err       *errorx.Type
		want      []string
		proposals int
	}{
		{"alone", nil, nil, nil, []string{"a"}, 1},
		{
			"repeated", func(other *EvacuationStore) { _, _ = other.Evacuate(ctx, "a", reason) }, nil, nil, []string{"a"}, 1,
		},
		{
			"another zone changes meanwhile", nil, func(other *EvacuationStore) { _, _ = other.Evacuate(ctx, "b", reason) }, nil, []string{"a", "b"}, 2,
		},
		{
			"the same start meanwhile", nil, func(other *EvacuationStore) { _, _ = other.Evacuate(ctx, "a", reason) }, nil, []string{"a"}, 1,
		},
		{
			"late start after a newer end", func(other *EvacuationStore) { _, _ = other.Evacuate(ctx, "a", reason) },
			func(other *EvacuationStore) { _, _ = other.EndEvacuation(ctx, "a") }, ErrSuperseded, nil, 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store, log, other, machine := newEvacuationStores()
			if tt.before != nil {
				tt.before(other)
			}
			if tt.meanwhile != nil {
				log.beforeProposal = func() { tt.meanwhile(other) }
			}
			result, err := store.Evacuate(ctx, "a", reason)
			is.Equal(err != nil, tt.err != nil)
			is.Equal(err == nil, result.Outcome == fleet.OutcomeAccepted)
			is.True(tt.err == nil || errorx.IsOfType(err, tt.err))
			is.Equal(log.proposals, tt.proposals)
			is.Equal(zones(machine), tt.want)
		})
	}
}

func zones(machine *StateMachine) (zones []string) {
	machine.Read(func(m *fleet.StateMachine) {
		for _, e := range m.Evacuations() {
			zones = append(zones, e.Zone)
		}
	})
	return zones
}

func TestNothingIsProposedForAClientThatIsGone(t *testing.T) {
	is := is.New(t)
	store, log, other, machine := newEvacuationStores()
	_, err := other.Evacuate(context.Background(), "a", reason)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	log.afterBarrier = cancel
	_, err = store.EndEvacuation(ctx, "a")
	is.True(err != nil)
	is.Equal(log.proposals, 0)
	is.Equal(zones(machine), []string{"a"})
}

// A start that is delayed on its way through the log must not undo the end that came
// after it.
func TestDelayedCommandDoesNotUndoALaterOne(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, _, other, machine := newEvacuationStores()
	delayed := fleet.Command{Kind: fleet.KindEvacuate, Zone: "a", Reason: reason}
	for _, change := range []func() (fleet.Result, error){
		func() (fleet.Result, error) { return store.Evacuate(ctx, "a", reason) },
		func() (fleet.Result, error) { return other.EndEvacuation(ctx, "a") },
	} {
		result, err := change()
		is.NoErr(err)
		is.Equal(result.Outcome, fleet.OutcomeAccepted)
	}
	result, err := store.store.Propose(ctx, delayed)
	is.NoErr(err)
	is.Equal(result.Outcome, fleet.OutcomeConflict)
	is.Equal(len(zones(machine)), 0)
}

// A snapshot of a version that did not know evacuations lacks their fields.
func TestSnapshotWithoutEvacuationsIsRestored(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, _, _, machine := newEvacuationStores()
	_, err := store.Evacuate(ctx, "a", reason)
	is.NoErr(err)
	data, err := machine.Snapshot()
	is.NoErr(err)
	var fields map[uint64]cbor.RawMessage
	is.NoErr(decode("snapshot", data, &fields))
	const evacuations, evacuationRevision = 12, 13
	is.True(len(fields[evacuations]) > 0 && len(fields[evacuationRevision]) > 0)
	delete(fields, evacuations)
	delete(fields, evacuationRevision)
	data, err = encode("snapshot", fields)
	is.NoErr(err)
	is.NoErr(machine.Restore(data))
	is.Equal(len(zones(machine)), 0)
	result, err := store.Evacuate(ctx, "b", reason)
	is.NoErr(err)
	is.Equal(result.Revision, uint64(2))
	is.Equal(zones(machine), []string{"b"})
}
