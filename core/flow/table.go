package flow

import "math/bits"

// entry is what an agent knows of one flow: that it owns it, or which agent is
// believed to, and which ballot it is bound to. The zero entry is a free place
// of the table.
type entry struct {
	id    ID
	seen  uint32 // time of last use in ticks
	owner uint32 // ownerNone, ownerSelf, or ownerPeer + the owner's slot in peers
	bound uint32 // number of the oldest ballot under which the flow may be taken
	home  uint32 // homeSelf, or homePeer + the slot of bound's home
}

const (
	ownerNone = 1
	ownerSelf = 2
	ownerPeer = 3

	homeSelf = 0
	homePeer = 1
)

func (e *entry) used() bool { return e.owner != 0 }

func (e *entry) owned() bool { return e.owner == ownerSelf }

// points reports whether e is a pointer to an owner.
func (e *entry) points() bool { return e.owner >= ownerPeer }

// free reports whether no owner is known.
func (e *entry) free() bool { return e.owner == ownerNone }

// slot returns the slot in peers of a pointer's owner.
func (e *entry) slot() uint32 { return e.owner - ownerPeer }

const (
	entrySize    = 32 // bytes
	minTableSize = 8
	maxLoad      = 85 // percent
	growth       = 150
	shrinkLoad   = 30
	percent      = 100
)

// table is a hash table with linear probing and without tombstones. Its size
// grows by half, which bounds the memory per flow more closely than doubling.
type table struct {
	entries []entry
	count   int
}

func (t *table) home(id ID) int {
	hi, _ := bits.Mul64(id.Key*0x9e3779b97f4a7c15, uint64(len(t.entries)))
	return int(hi)
}

// find returns the entry of id or nil. The pointer is valid until the next
// insert or remove.
func (t *table) find(id ID) *entry {
	if t.count == 0 {
		return nil
	}
	for i := t.home(id); ; i++ {
		if i == len(t.entries) {
			i = 0
		}
		switch e := &t.entries[i]; {
		case !e.used():
			return nil
		case e.id == id:
			return e
		}
	}
}

// insert returns the entry of id, made without owner if there is none.
func (t *table) insert(id ID) *entry {
	if e := t.find(id); e != nil {
		return e
	}
	if (t.count+1)*percent > len(t.entries)*maxLoad {
		t.resize(max(minTableSize, len(t.entries)*growth/percent))
	}
	t.count++
	return t.place(entry{id: id, owner: ownerNone})
}

func (t *table) place(e entry) *entry {
	i := t.home(e.id)
	for t.entries[i].used() {
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
		if old[i].used() {
			t.place(old[i])
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
	gap := t.home(id)
	for t.entries[gap].id != id || !t.entries[gap].used() {
		gap = (gap + 1) % size
	}
	for i := (gap + 1) % size; t.entries[i].used(); i = (i + 1) % size {
		distance := (i - t.home(t.entries[i].id) + size) % size
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
	if len(t.entries) > minTableSize && t.count*percent < len(t.entries)*shrinkLoad {
		t.resize(max(minTableSize, 2*t.count))
	}
}
