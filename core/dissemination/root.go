package dissemination

import (
	"time"
)

// Root numbers the changes of one epoch. The leader of the control replicas runs it
// over the Store that it filled as a Sink before, so that its numbers continue
// those of the previous leader.
type Root struct {
	*Source
	epoch uint64
}

// NewRoot starts an epoch over a store. It returns ErrStaleEpoch unless the epoch is
// newer than the store's.
func NewRoot(epoch uint64, store *Store, opts SourceOptions) (*Root, error) {
	if epoch <= store.resumePosition.Epoch {
		return nil, ErrStaleEpoch.New("epoch %d is not newer than %d", epoch, store.resumePosition.Epoch)
	}
	if store.inFullTransfer {
		store.abortFullTransfer()
	}
	start := store.resumePosition.Number
	store.mergeEpochs([]EpochStart{{Epoch: epoch, Start: start}})
	store.advancePosition(Position{Epoch: epoch, Number: start}, false)
	return &Root{Source: NewSource(store, opts), epoch: epoch}, nil
}

// NextVersion returns the version for the next item to publish.
func (r *Root) NextVersion() Position {
	return Position{Epoch: r.epoch, Number: r.store.resumePosition.Number + 1}
}

// Publish numbers a change. The subscribers get it once the batch window ends. It
// returns ErrInvalidItem or ErrStaleVersion if the item is rejected.
func (r *Root) Publish(it Item) (Position, error) {
	if err := it.validate(); err != nil {
		return Position{}, err
	}
	if stored, ok := r.store.items[it.Key]; ok && !it.Version.Newer(stored.item.Version) {
		return Position{}, ErrStaleVersion.New("key %q is at version %v, rejected version %v", it.Key, stored.item.Version, it.Version)
	}
	at := r.NextVersion()
	r.store.put(Change{Number: at.Number, Item: it})
	r.store.advancePosition(at, false)
	return at, nil
}

// RecordConfirmation records that a quorum has confirmed this root as the only one,
// in a round that began at the given time.
func (r *Root) RecordConfirmation(began time.Duration) { r.recordConfirmation(began) }
