package fleetstore

import (
	"context"
	"time"

	"fulmarmount.org/core/fleet"
)

// ImportStore is the imported configuration of a Store.
type ImportStore struct {
	store *Store
	now   func() time.Time
}

// NewImportStore returns the imports of a store. The clock dates commands.
func NewImportStore(store *Store, now func() time.Time) *ImportStore {
	return &ImportStore{store: store, now: now}
}

// Import puts a document in force unless one of the same or a higher number is.
// An error of type ErrPropose leaves its result unknown.
func (i *ImportStore) Import(ctx context.Context, what fleet.Import, d *fleet.Document) (fleet.Result, error) {
	return i.store.Propose(ctx, fleet.Command{
		Kind: fleet.KindImport, ProposedAt: i.now(), Import: &what, Document: d,
	})
}

// Imported returns the import in force, confirmed by a majority.
func (i *ImportStore) Imported(ctx context.Context) (fleet.Import, error) {
	var out fleet.Import
	err := i.store.Read(ctx, func(m *fleet.StateMachine) { out = m.ActiveImport() })
	return out, err
}
