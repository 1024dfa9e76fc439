package dissemination

import (
	"time"
)

// Root numbers the changes of one epoch. The process that leads the control
// replicas embeds it over the Store that it filled as a Sink before, so that
// the sequence goes on where the last leader's stopped.
type Root struct {
	*Source
	epoch uint64
}

// NewRoot begins an epoch over a store. It returns ErrEpoch unless the epoch is
// newer than every one that the store has seen.
func NewRoot(epoch uint64, store *Store, opts SourceOptions) (*Root, error) {
	if epoch <= store.position.Epoch {
		return nil, ErrStaleEpoch.New("epoch %d is not newer than %d", epoch, store.position.Epoch)
	}
	if store.rebuilding {
		store.relink()
	}
	start := store.position.Number
	store.enterEpochs([]EpochStart{{Epoch: epoch, Start: start}})
	store.advance(Position{Epoch: epoch, Number: start}, false)
	return &Root{Source: NewSource(store, opts), epoch: epoch}, nil
}

// NextVersion returns the version that an item published now may carry.
func (r *Root) NextVersion() Position {
	return Position{Epoch: r.epoch, Number: r.store.position.Number + 1}
}

// Publish numbers a change and hands it to the subscribers once the batch
// window closes. It returns ErrItem or ErrVersion if the item is refused.
func (r *Root) Publish(it Item) (Position, error) {
	if err := it.check(); err != nil {
		return Position{}, err
	}
	if held, ok := r.store.items[it.Key]; ok && !it.Version.Newer(held.item.Version) {
		return Position{}, ErrStaleVersion.New("key %q is at version %v, refused %v", it.Key, held.item.Version, it.Version)
	}
	at := r.NextVersion()
	r.store.put(Change{Number: at.Number, Item: it})
	r.store.advance(at, false)
	return at, nil
}

// RecordConfirmation tells that a quorum confirmed this root as the only one, in a round
// that began at a given time.
func (r *Root) RecordConfirmation(began time.Duration) { r.confirm(began) }
