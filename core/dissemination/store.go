package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what a Store remembers besides the items themselves.
const (
	maxEpochs            = 32
	defaultMaxTombstones = 4096
	digestBuckets        = 256
)

// entry is one key. Linked entries are ordered by number.
type entry struct {
	item       Item
	number     uint64
	hash       uint64
	prev, next *entry
	linked     bool
}

// StoreOptions configures a Store.
type StoreOptions struct {
	// MaxTombstones bounds the deleted keys remembered. Subscribers that missed
	// an older deletion get the whole state. Zero means 4,096.
	MaxTombstones int
	// DropBodies forgets a body once it was adopted, for daemons that keep the
	// decoded form and serve nobody.
	DropBodies bool
}

// Store holds the items of one process, ordered by their latest change.
type Store struct {
	opts           StoreOptions
	items          map[string]*entry
	oldest, newest *entry
	tombstones     int
	buckets        [digestBuckets]uint64
	epochs         []EpochStart
	// position is where to continue; complete is the last position of which
	// nothing was missing.
	position, complete Position
	// floor is the number of the newest deletion that was forgotten.
	floor uint64
	// rebuilding is set from the first to the last batch of a whole-state
	// transfer; rebuilds counts the finished ones.
	rebuilding bool
	rebuilds   uint64
}

// NewStore returns an empty Store.
func NewStore(opts StoreOptions) *Store {
	if opts.MaxTombstones == 0 {
		opts.MaxTombstones = defaultMaxTombstones
	}
	return &Store{opts: opts, items: map[string]*entry{}}
}

// Position returns the last position of which everything is held.
func (s *Store) Position() Position { return s.complete }

// Len returns the number of keys that exist.
func (s *Store) Len() int { return len(s.items) - s.tombstones }

// Get returns the item of a key. ok is false if the key never existed, was
// deleted, or was forgotten.
func (s *Store) Get(key string) (it Item, ok bool) {
	e, ok := s.items[key]
	if !ok || e.item.Deleted {
		return Item{}, false
	}
	return e.item, true
}

// Items returns every item that exists, in the order of their latest change.
func (s *Store) Items() []Item {
	all := make([]Item, 0, s.Len())
	for e := s.oldest; e != nil; e = e.next {
		if !e.item.Deleted {
			all = append(all, e.item)
		}
	}
	return all
}

// Digest covers every item that exists: key, version and body.
func (s *Store) Digest() uint64 { return digest(&s.buckets) }

func digest(buckets *[digestBuckets]uint64) uint64 {
	var d uint64
	for _, b := range buckets {
		d = mix(d, b)
	}
	return d
}

// whole reports whether nothing is missing at the position.
func (s *Store) whole() bool { return s.position == s.complete && !s.rebuilding }

// put adopts a change if its version is newer than the one held.
func (s *Store) put(c Change) bool {
	e, ok := s.items[c.Item.Key]
	if ok && !c.Item.Version.Newer(e.item.Version) {
		return false
	}
	if !ok {
		e = &entry{}
		s.items[c.Item.Key] = e
	}
	s.set(e, c)
	return true
}

// set replaces the content of e and moves it to the place of its number.
func (s *Store) set(e *entry, c Change) {
	s.unlink(e)
	s.uncount(e)
	e.item, e.number, e.hash = c.Item, c.Number, c.Item.hash()
	s.count(e)
	s.link(e)
	s.prune()
}

// adopted forgets the bodies of items that their user has taken.
func (s *Store) adopted(items []Item) {
	if !s.opts.DropBodies {
		return
	}
	for _, it := range items {
		if e, ok := s.items[it.Key]; ok {
			e.item.Body = nil
		}
	}
}

func (s *Store) count(e *entry) {
	if e.item.Deleted {
		s.tombstones++
		return
	}
	s.buckets[bucketOf(e.item.Key)] += e.hash
}

func (s *Store) uncount(e *entry) {
	switch {
	case e.item.Key == "": // A new entry was not counted.
	case e.item.Deleted:
		s.tombstones--
	default:
		s.buckets[bucketOf(e.item.Key)] -= e.hash
	}
}

// link inserts e behind the last entry whose number is not greater.
func (s *Store) link(e *entry) {
	after := s.newest
	for after != nil && after.number > e.number {
		after = after.prev
	}
	e.prev, e.linked = after, true
	if after == nil {
		e.next, s.oldest = s.oldest, e
	} else {
		e.next, after.next = after.next, e
	}
	if e.next == nil {
		s.newest = e
	} else {
		e.next.prev = e
	}
}

func (s *Store) unlink(e *entry) {
	if !e.linked {
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
	e.prev, e.next, e.linked = nil, nil, false
}

// remove forgets a key without a trace.
func (s *Store) remove(e *entry) {
	s.unlink(e)
	s.uncount(e)
	delete(s.items, e.item.Key)
}

// prune forgets the oldest deletions beyond the bound.
func (s *Store) prune() {
	if s.tombstones <= s.opts.MaxTombstones {
		return
	}
	for e := s.oldest; e != nil && s.tombstones > s.opts.MaxTombstones*3/4; {
		next := e.next
		if e.item.Deleted {
			s.floor = max(s.floor, e.number)
			s.remove(e)
		}
		e = next
	}
}

// after returns the first entry whose number is greater than n, searching from
// the nearer end.
func (s *Store) after(n uint64) *entry {
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

// advance moves the position; it never falls.
func (s *Store) advance(to Position, more bool) {
	if to.Newer(s.position) {
		s.position = to
	}
	if !more && s.position.Newer(s.complete) {
		s.complete = s.position
	}
}

// enterEpochs merges the latest epochs. What was numbered beyond the start of a
// new epoch counts as changed at its start.
func (s *Store) enterEpochs(starts []EpochStart) {
	for _, start := range starts {
		if n := len(s.epochs); n > 0 && start.Epoch <= s.epochs[n-1].Epoch {
			continue
		}
		s.epochs = append(s.epochs, start)
		for e := s.newest; e != nil && e.number > start.Start && !s.rebuilding; e = e.prev {
			e.number = start.Start
		}
	}
	if extra := len(s.epochs) - maxEpochs; extra > 0 {
		s.epochs = slices.Delete(s.epochs, 0, extra)
	}
}

// ancestor returns the last number of p that belongs to the store's own
// sequence. ok is false if that is not known.
func (s *Store) ancestor(p Position) (n uint64, ok bool) {
	i := slices.IndexFunc(s.epochs, func(e EpochStart) bool { return e.Epoch == p.Epoch })
	if i < 0 {
		return 0, false
	}
	n = p.Number
	for _, later := range s.epochs[i+1:] {
		n = min(n, later.Start)
	}
	return n, n >= s.floor
}

// beginRebuild takes every entry out of the order, for a whole-state transfer.
func (s *Store) beginRebuild() {
	for e := s.oldest; e != nil; {
		next := e.next
		e.prev, e.next, e.linked = nil, nil, false
		e = next
	}
	s.oldest, s.newest = nil, nil
	s.rebuilding = true
}

// relink puts every entry back in order, after a transfer that was cut. The
// order may lack changes, so subscribers must take the whole state.
func (s *Store) relink() {
	s.oldest, s.newest = nil, nil
	all := make([]*entry, 0, len(s.items))
	for _, e := range s.items {
		e.prev, e.next, e.linked = nil, nil, false
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	for _, e := range all {
		s.link(e)
	}
	s.floor = s.position.Number + 1
	s.rebuilding = false
	s.rebuilds++
}

// rebuild places a change of a whole-state transfer. It returns true if the
// item was adopted.
func (s *Store) rebuild(c Change) bool {
	e, ok := s.items[c.Item.Key]
	if !ok || c.Item.Version.Newer(e.item.Version) {
		return s.put(c)
	}
	s.unlink(e)
	e.number = c.Number
	s.link(e)
	return false
}

// endRebuild removes the keys that the transfer did not contain and returns
// them as deleted items.
func (s *Store) endRebuild(to Position) []Item {
	var gone []Item
	for _, e := range s.items {
		if e.linked {
			continue
		}
		if !e.item.Deleted {
			gone = append(gone, Item{Key: e.item.Key, Version: e.item.Version, Deleted: true})
		}
		s.remove(e)
	}
	sortItems(gone)
	s.floor = to.Number
	s.rebuilding = false
	s.rebuilds++
	return gone
}

// bucketOf assigns a key to a digest bucket.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % digestBuckets) }
