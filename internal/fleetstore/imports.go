package fleetstore

import (
	"context"
	"time"

	"fulmarmount.org/core/fleet"
)

// ImportStore stores configuration documents that are imported from another system.
type ImportStore struct {
	store *Store
	now   func() time.Time
}

// NewImportStore returns an ImportStore that proposes commands to store, with the
// time of now.
func NewImportStore(store *Store, now func() time.Time) *ImportStore {
	return &ImportStore{store: store, now: now}
}

// Import activates a document unless the active import has the same or a higher
// number. After an error of type ErrOutcomeUnknown the result is unknown.
func (i *ImportStore) Import(ctx context.Context, imported fleet.Import, d *fleet.Document) (fleet.Result, error) {
	return i.store.Propose(ctx, fleet.Command{
		Kind: fleet.KindImport, ProposedAt: i.now(), Import: &imported, Document: d,
	})
}

// Imported returns the active import, confirmed by a majority.
func (i *ImportStore) Imported(ctx context.Context) (fleet.Import, error) {
	var active fleet.Import
	err := i.store.Read(ctx, func(m *fleet.StateMachine) { active = m.ActiveImport() })
	return active, err
}
