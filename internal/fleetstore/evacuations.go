package fleetstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/fleet"
)

// ErrSuperseded reports that a command was not executed, since a command of another
// call for the same item was executed meanwhile and nothing tells which one is newer.
var ErrSuperseded = namespace.NewType("superseded", errorx.Temporary())

// EvacuationStore evacuates availability zones for clients whose calls are not
// numbered.
type EvacuationStore struct {
	store  *Store
	author string
	now    func() time.Time
}

// NewEvacuationStore returns an EvacuationStore that proposes commands to store, under
// the name of author and with the time of now.
func NewEvacuationStore(store *Store, author string, now func() time.Time) *EvacuationStore {
	return &EvacuationStore{store: store, author: author, now: now}
}

// Evacuate evacuates an availability zone; if it is evacuated already, nothing changes.
// After an error of type ErrSuperseded the command has not been executed, after one of
// type ErrOutcomeUnknown the result is unknown.
func (e *EvacuationStore) Evacuate(ctx context.Context, zone, reason string) (fleet.Result, error) {
	return e.propose(ctx, fleet.Command{Kind: fleet.KindEvacuate, Zone: zone, Reason: reason})
}

// EndEvacuation ends the evacuation of an availability zone; if it is not evacuated,
// nothing changes. Errors are those of Evacuate.
func (e *EvacuationStore) EndEvacuation(ctx context.Context, zone string) (fleet.Result, error) {
	return e.propose(ctx, fleet.Command{Kind: fleet.KindEndEvacuation, Zone: zone})
}

// zoneState is what is stored of an availability zone.
type zoneState struct {
	evacuation fleet.Evacuation
	evacuated  bool
}

// propose proposes the command for the revision that a majority has confirmed. While
// only other zones change meanwhile, it tries again until ctx ends.
func (e *EvacuationStore) propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	c.Author, c.ProposedAt = e.author, e.now()
	first, revision, err := e.read(ctx, c.Zone)
	for err == nil {
		c.ExpectedRevision = revision
		result, proposeErr := e.store.Propose(ctx, c)
		if proposeErr != nil || result.Outcome != fleet.OutcomeConflict {
			return result, proposeErr
		}
		var current zoneState
		current, revision, err = e.read(ctx, c.Zone)
		if err == nil && current != first {
			return fleet.Result{}, ErrSuperseded.New("zone %q was changed by another call at the same time", c.Zone)
		}
	}
	return fleet.Result{}, err
}

// read returns the state of a zone and the revision of the evacuations, confirmed by a
// majority. It fails if ctx has ended, so that nothing is proposed for a client that is
// gone.
func (e *EvacuationStore) read(ctx context.Context, zone string) (state zoneState, revision uint64, err error) {
	err = e.store.Read(ctx, func(m *fleet.StateMachine) {
		state.evacuation, state.evacuated = m.Evacuation(zone)
		revision = m.EvacuationRevision()
	})
	if err == nil {
		err = ctx.Err()
	}
	return state, revision, err
}
