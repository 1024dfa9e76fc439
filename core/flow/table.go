package flow

import "math/bits"

// entry is the state of one flow: whether this agent owns it or which agent its
// pointer names, and the promised ballot. The zero entry is an unused slot of
// the table.
type entry struct {
	id       ID
	lastUsed uint32 // in ticks
	owner    uint32 // ownerNone, ownerSelf, or ownerPeer + the owner's peer slot
	promised uint32 // number of the oldest ballot under which the flow may be acquired
	home     uint32 // homeSelf, or homePeer + the peer slot of the promised ballot's home
}

const (
	ownerNone = 1
	ownerSelf = 2
	ownerPeer = 3

	homeSelf = 0
	homePeer = 1
)

func (e *entry) inUse() bool { return e.owner != 0 }

func (e *entry) isOwned() bool { return e.owner == ownerSelf }

// isPointer reports whether e points to an owner other than this agent.
func (e *entry) isPointer() bool { return e.owner >= ownerPeer }

func (e *entry) isOwnerUnknown() bool { return e.owner == ownerNone }

// ownerSlot returns the peer slot of a pointer's owner.
func (e *entry) ownerSlot() uint32 { return e.owner - ownerPeer }

const (
	entrySize         = 32 // bytes
	minTableSize      = 8
	maxLoadPercent    = 85
	growthPercent     = 150
	shrinkLoadPercent = 30
	percent           = 100
)

// table is a hash table with linear probing and without tombstones. It grows by
// half of its size, which bounds the memory per flow more tightly than
// doubling.
type table struct {
	entries []entry
	count   int
}

func (t *table) probeStart(id ID) int {
	hi, _ := bits.Mul64(id.Key*0x9e3779b97f4a7c15, uint64(len(t.entries)))
	return int(hi)
}

// find returns the entry of id, or nil. The pointer is valid until the next
// insert or remove.
func (t *table) find(id ID) *entry {
	if t.count == 0 {
		return nil
	}
	for i := t.probeStart(id); ; i++ {
		if i == len(t.entries) {
			i = 0
		}
		switch e := &t.entries[i]; {
		case !e.inUse():
			return nil
		case e.id == id:
			return e
		}
	}
}

// insert returns the entry of id, and adds one without an owner if there is
// none.
func (t *table) insert(id ID) *entry {
	if e := t.find(id); e != nil {
		return e
	}
	if (t.count+1)*percent > len(t.entries)*maxLoadPercent {
		t.resize(max(minTableSize, len(t.entries)*growthPercent/percent))
	}
	t.count++
	return t.insertNew(entry{id: id, owner: ownerNone})
}

func (t *table) insertNew(e entry) *entry {
	i := t.probeStart(e.id)
	for t.entries[i].inUse() {
		if i++; i == len(t.entries) {
			i = 0
		}
	}
	t.entries[i] = e
	return &t.entries[i]
}

func (t *table) resize(size int) {
	old := t.entries
	t.entries = make([]entry, size)
	for i := range old {
		if old[i].inUse() {
			t.insertNew(old[i])
		}
	}
}

// remove deletes the entry of id, if any, and closes the gap in its probe
// sequence.
func (t *table) remove(id ID) {
	e := t.find(id)
	if e == nil {
		return
	}
	size := len(t.entries)
	gap := t.probeStart(id)
	for t.entries[gap].id != id || !t.entries[gap].inUse() {
		gap = (gap + 1) % size
	}
	for i := (gap + 1) % size; t.entries[i].inUse(); i = (i + 1) % size {
		distance := (i - t.probeStart(t.entries[i].id) + size) % size
		if distance >= (i-gap+size)%size {
			t.entries[gap] = t.entries[i]
			gap = i
		}
	}
	t.entries[gap] = entry{}
	t.count--
}

// compact shrinks a table that has become sparse.
func (t *table) compact() {
	if len(t.entries) > minTableSize && t.count*percent < len(t.entries)*shrinkLoadPercent {
		t.resize(max(minTableSize, 2*t.count))
	}
}
