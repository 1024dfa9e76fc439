package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the metadata in a Store, and the number of digest buckets.
const (
	maxEpochs            = 32
	defaultMaxTombstones = 4096
	digestBuckets        = 256
)

// entry is the item of one key. Linked entries are ordered by number.
type entry struct {
	item       Item
	number     uint64
	hash       uint64
	prev, next *entry
	isLinked   bool
}

// StoreOptions configures a Store.
type StoreOptions struct {
	// MaxTombstones bounds the deleted keys in the store. Subscribers that missed a
	// pruned deletion get a full transfer. Zero means 4,096.
	MaxTombstones int
	// DropBodies releases the body of an item once the item is applied, for daemons
	// that keep the decoded form and serve no subscribers.
	DropBodies bool
}

// Store contains the items of one process, ordered by their latest change.
type Store struct {
	opts           StoreOptions
	items          map[string]*entry
	oldest, newest *entry
	tombstoneCount int
	bucketDigests  [digestBuckets]uint64
	epochs         []EpochStart
	// resumePosition is the position to continue from. It is newer than
	// completePosition, the latest position at which no change was missing, while
	// further batches of a delta are expected.
	resumePosition, completePosition Position
	// minDeltaNumber is the lowest number from which a delta is complete. Deletions
	// up to that number may be missing: they were pruned, or a full transfer did not
	// contain them.
	minDeltaNumber uint64
	// inFullTransfer is set from the first to the last batch of a full transfer.
	// fullTransferCount is the number of completed or aborted ones.
	inFullTransfer    bool
	fullTransferCount uint64
}

// NewStore returns an empty Store.
func NewStore(opts StoreOptions) *Store {
	if opts.MaxTombstones == 0 {
		opts.MaxTombstones = defaultMaxTombstones
	}
	return &Store{opts: opts, items: map[string]*entry{}}
}

// Position returns the latest position at which no change is missing.
func (s *Store) Position() Position { return s.completePosition }

// Len returns the number of keys that are not deleted.
func (s *Store) Len() int { return len(s.items) - s.tombstoneCount }

// Get returns the item of a key. ok is false if there is none or it is deleted.
func (s *Store) Get(key string) (it Item, ok bool) {
	e, ok := s.items[key]
	if !ok || e.item.Deleted {
		return Item{}, false
	}
	return e.item, true
}

// Items returns the items that are not deleted, in the order of their latest change.
func (s *Store) Items() []Item {
	all := make([]Item, 0, s.Len())
	for e := s.oldest; e != nil; e = e.next {
		if !e.item.Deleted {
			all = append(all, e.item)
		}
	}
	return all
}

// Digest returns a digest of the key, version and body of every item that is not
// deleted.
func (s *Store) Digest() uint64 { return digest(&s.bucketDigests) }

func digest(buckets *[digestBuckets]uint64) uint64 {
	var d uint64
	for _, b := range buckets {
		d = mix(d, b)
	}
	return d
}

// isComplete reports whether no change is missing at resumePosition.
func (s *Store) isComplete() bool { return s.resumePosition == s.completePosition && !s.inFullTransfer }

// put stores a change if its version is newer than the stored one. It reports
// whether the change was stored.
func (s *Store) put(c Change) bool {
	e, ok := s.items[c.Item.Key]
	if ok && !c.Item.Version.Newer(e.item.Version) {
		return false
	}
	if !ok {
		e = &entry{}
		s.items[c.Item.Key] = e
	}
	s.replace(e, c)
	return true
}

// replace replaces the item of e and moves e to the position of its new number.
func (s *Store) replace(e *entry, c Change) {
	s.unlink(e)
	s.removeFromDigest(e)
	e.item, e.number, e.hash = c.Item, c.Number, c.Item.hash()
	s.addToDigest(e)
	s.link(e)
	s.pruneTombstones()
}

// dropBodies releases the bodies of applied items if StoreOptions.DropBodies is set.
func (s *Store) dropBodies(items []Item) {
	if !s.opts.DropBodies {
		return
	}
	for _, it := range items {
		if e, ok := s.items[it.Key]; ok {
			e.item.Body = nil
		}
	}
}

func (s *Store) addToDigest(e *entry) {
	if e.item.Deleted {
		s.tombstoneCount++
		return
	}
	s.bucketDigests[bucketOf(e.item.Key)] += e.hash
}

func (s *Store) removeFromDigest(e *entry) {
	switch {
	case e.item.Key == "": // A new entry is not in the digest yet.
	case e.item.Deleted:
		s.tombstoneCount--
	default:
		s.bucketDigests[bucketOf(e.item.Key)] -= e.hash
	}
}

// link inserts e after the last entry whose number is not greater.
func (s *Store) link(e *entry) {
	predecessor := s.newest
	for predecessor != nil && predecessor.number > e.number {
		predecessor = predecessor.prev
	}
	e.prev, e.isLinked = predecessor, true
	if predecessor == nil {
		e.next, s.oldest = s.oldest, e
	} else {
		e.next, predecessor.next = predecessor.next, e
	}
	if e.next == nil {
		s.newest = e
	} else {
		e.next.prev = e
	}
}

func (s *Store) unlink(e *entry) {
	if !e.isLinked {
		return
	}
	if e.prev == nil {
		s.oldest = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		s.newest = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.isLinked = nil, nil, false
}

// remove removes a key without a tombstone.
func (s *Store) remove(e *entry) {
	s.unlink(e)
	s.removeFromDigest(e)
	delete(s.items, e.item.Key)
}

// pruneTombstones removes the oldest tombstones if there are more than
// StoreOptions.MaxTombstones, until three quarters of that number remain.
func (s *Store) pruneTombstones() {
	if s.tombstoneCount <= s.opts.MaxTombstones {
		return
	}
	for e := s.oldest; e != nil && s.tombstoneCount > s.opts.MaxTombstones*3/4; {
		next := e.next
		if e.item.Deleted {
			s.minDeltaNumber = max(s.minDeltaNumber, e.number)
			s.remove(e)
		}
		e = next
	}
}

// firstAfter returns the first entry whose number is greater than n. It searches
// from the nearer end of the order.
func (s *Store) firstAfter(n uint64) *entry {
	if s.newest == nil || s.newest.number <= n {
		return nil
	}
	if n-min(n, s.oldest.number) < s.newest.number-n {
		e := s.oldest
		for e.number <= n {
			e = e.next
		}
		return e
	}
	e := s.newest
	for e.prev != nil && e.prev.number > n {
		e = e.prev
	}
	return e
}

// advancePosition sets resumePosition unless the current one is newer. It also sets
// completePosition unless hasMore is set.
func (s *Store) advancePosition(to Position, hasMore bool) {
	if to.Newer(s.resumePosition) {
		s.resumePosition = to
	}
	if !hasMore && s.resumePosition.Newer(s.completePosition) {
		s.completePosition = s.resumePosition
	}
}

// mergeEpochs adds epochs that are newer than the stored ones. Entries with numbers
// beyond the start of a new epoch get the start as their number.
func (s *Store) mergeEpochs(starts []EpochStart) {
	for _, start := range starts {
		if n := len(s.epochs); n > 0 && start.Epoch <= s.epochs[n-1].Epoch {
			continue
		}
		s.epochs = append(s.epochs, start)
		for e := s.newest; e != nil && e.number > start.Start && !s.inFullTransfer; e = e.prev {
			e.number = start.Start
		}
	}
	if extra := len(s.epochs) - maxEpochs; extra > 0 {
		s.epochs = slices.Delete(s.epochs, 0, extra)
	}
}

// lastCommonNumber returns the last number up to which the sequence of p equals the
// store's own. ok is false if the epoch of p is unknown or a delta from that number
// would be incomplete.
func (s *Store) lastCommonNumber(p Position) (n uint64, ok bool) {
	i := slices.IndexFunc(s.epochs, func(e EpochStart) bool { return e.Epoch == p.Epoch })
	if i < 0 {
		return 0, false
	}
	n = p.Number
	for _, later := range s.epochs[i+1:] {
		n = min(n, later.Start)
	}
	return n, n >= s.minDeltaNumber
}

// beginFullTransfer unlinks every entry at the start of a full transfer.
func (s *Store) beginFullTransfer() {
	for e := s.oldest; e != nil; {
		next := e.next
		e.prev, e.next, e.isLinked = nil, nil, false
		e = next
	}
	s.oldest, s.newest = nil, nil
	s.inFullTransfer = true
}

// abortFullTransfer links every entry again after an interrupted full transfer. The
// order may lack changes, so subscribers need a full transfer.
func (s *Store) abortFullTransfer() {
	s.oldest, s.newest = nil, nil
	all := make([]*entry, 0, len(s.items))
	for _, e := range s.items {
		e.prev, e.next, e.isLinked = nil, nil, false
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	for _, e := range all {
		s.link(e)
	}
	s.minDeltaNumber = s.resumePosition.Number + 1
	s.inFullTransfer = false
	s.fullTransferCount++
}

// putFromTransfer links the entry of a change of a full transfer. It reports
// whether the change was stored.
func (s *Store) putFromTransfer(c Change) bool {
	e, ok := s.items[c.Item.Key]
	if !ok || c.Item.Version.Newer(e.item.Version) {
		return s.put(c)
	}
	s.unlink(e)
	e.number = c.Number
	s.link(e)
	return false
}

// finishFullTransfer ends a full transfer. It removes the keys that the transfer did
// not contain, and returns those that were not deleted as deleted items.
func (s *Store) finishFullTransfer(to Position) []Item {
	var removed []Item
	for _, e := range s.items {
		if e.isLinked {
			continue
		}
		if !e.item.Deleted {
			removed = append(removed, Item{Key: e.item.Key, Version: e.item.Version, Deleted: true})
		}
		s.remove(e)
	}
	sortItems(removed)
	s.minDeltaNumber = to.Number
	s.inFullTransfer = false
	s.fullTransferCount++
	return removed
}

// bucketOf returns the index of the digest bucket of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % digestBuckets) }
