package quorum

import "slices"

// membershipAtIndex is a membership with the index of the entry that activated it.
type membershipAtIndex struct {
	index      uint64
	membership Membership
}

// entryLog stores the latest snapshot and the entries after offset.
type entryLog struct {
	snapshot   Snapshot
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// memberships holds the snapshot's membership, followed by the one after each
	// change in the log. The last one is active, committed or not (thesis, 4.1).
	memberships []membershipAtIndex

	stable    uint64 // last entry on disk
	committed uint64
	applied   uint64
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{}
	l.reset(snapshot)
	if !LogMatchesSnapshot(entries, snapshot) {
		return l, nil
	}
	first := entries[0]
	if first.Index == 0 || first.Index > snapshot.Index+1 {
		return nil, ErrInvalidState.New("log starts at entry %d, after snapshot %d", first.Index, snapshot.Index)
	}
	if first.Index <= snapshot.Index {
		// The term of the entry before the first one is unknown, so the first
		// entry serves as the offset.
		l.offset, l.offsetTerm = first.Index, first.Term
		entries = entries[1:]
	}
	for i := range entries {
		if expected := l.lastIndex() + 1; entries[i].Index != expected {
			return nil, ErrInvalidState.New("log has entry %d at the position of entry %d", entries[i].Index, expected)
		}
		if entries[i].Term < l.lastTerm() {
			return nil, ErrInvalidState.New("term falls from %d to %d at entry %d", l.lastTerm(), entries[i].Term, entries[i].Index)
		}
		l.appendEntry(entries[i])
	}
	l.stable = l.lastIndex()
	return l, nil
}

// LogMatchesSnapshot reports whether entries contain the snapshot's last entry
// with the same term, or start after it. Otherwise the snapshot came from a
// leader and replaces the entries (paper, section 7).
func LogMatchesSnapshot(entries []Entry, snapshot Snapshot) bool {
	if len(entries) == 0 || entries[len(entries)-1].Index < snapshot.Index {
		return false
	}
	first := entries[0].Index
	if first > snapshot.Index {
		return true
	}
	at := snapshot.Index - first
	return at < uint64(len(entries)) && entries[at].Term == snapshot.Term
}

// reset discards the log and restores the state from snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = entryLog{
		snapshot:    snapshot,
		offset:      snapshot.Index,
		offsetTerm:  snapshot.Term,
		memberships: []membershipAtIndex{{index: snapshot.Index, membership: snapshot.Membership}},
		stable:      snapshot.Index,
		committed:   snapshot.Index,
		applied:     snapshot.Index,
	}
}

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if it is not in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) hasEntry(index, term uint64) bool {
	entryTerm, ok := l.term(index)
	return ok && entryTerm == term
}

// isUpToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one (paper, section 5.4.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if last := l.lastTerm(); term != last {
		return term > last
	}
	return index >= l.lastIndex()
}

func (l *entryLog) membership() Membership { return l.memberships[len(l.memberships)-1].membership }

func (l *entryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership that was active at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership
		}
	}
	return l.memberships[0].membership
}

// appendEntry appends e, which must have the next index, and activates its membership
// change.
func (l *entryLog) appendEntry(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryChange || e.Change == nil || e.Index <= l.snapshot.Index {
		return
	}
	// The leader validated the change before it proposed it, so Apply cannot fail.
	if next, err := l.membership().Apply(*e.Change); err == nil {
		l.memberships = append(l.memberships, membershipAtIndex{index: e.Index, membership: next})
	}
}

// merge appends entries from the leader and truncates a conflicting suffix of
// this log (paper, figure 2: AppendEntries, rules 3 and 4).
func (l *entryLog) merge(entries []Entry) {
	for i := range entries {
		e := entries[i]
		if e.Index <= l.offset || l.hasEntry(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		l.appendEntry(e)
	}
}

// truncate removes the entries from index on and reverts their membership changes.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.offset-1])
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// entriesBetween returns the entries after index lo up to and including index hi.
func (l *entryLog) entriesBetween(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	from, to := lo-l.offset, hi-l.offset
	return l.entries[from:to:to]
}

// entriesFrom returns the entries from index on, limited to about maxBytes but at
// least one.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	remaining := l.entries[index-l.offset-1:]
	size := 0
	for i := range remaining {
		size += remaining[i].Size()
		if i > 0 && size > maxBytes {
			return remaining[:i:i]
		}
	}
	return remaining[:len(remaining):len(remaining)]
}

// bytesAfter returns the size of the entries in the log after index.
func (l *entryLog) bytesAfter(index uint64) int {
	if index >= l.lastIndex() {
		return 0
	}
	size := 0
	for i := max(index, l.offset) - l.offset; i < uint64(len(l.entries)); i++ {
		size += l.entries[i].Size()
	}
	return size
}

// trailingEntries returns the number of the last entries up to index that are at most
// maxEntries and at most maxBytes in size.
func (l *entryLog) trailingEntries(index, maxEntries uint64, maxBytes int) uint64 {
	n, size := uint64(0), 0
	for n < maxEntries && index-n > l.offset {
		size += l.entries[index-n-l.offset-1].Size()
		if size > maxBytes {
			break
		}
		n++
	}
	return n
}

// findConflictByTerm returns the index and term of the last entry at or before index
// whose term is at most term. Terms never decrease along a log, so a log with an
// entry of that term at index cannot match this log after the returned entry.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	if index < l.offset {
		return index, 0
	}
	for i := min(index, l.lastIndex()); i > l.offset; i-- {
		if entryTerm := l.entries[i-l.offset-1].Term; entryTerm <= term {
			return i, entryTerm
		}
	}
	return l.offset, l.offsetTerm
}

// compact installs a snapshot of applied state and removes the entries that it
// covers, except the last keep ones.
func (l *entryLog) compact(snapshot Snapshot, keep uint64) {
	l.snapshot = snapshot
	for len(l.memberships) > 1 && l.memberships[1].index <= snapshot.Index {
		l.memberships = l.memberships[1:]
	}
	if snapshot.Index <= l.offset+keep {
		return
	}
	offset := snapshot.Index - keep
	term, _ := l.term(offset)
	l.entries = slices.Clone(l.entries[offset-l.offset:])
	l.offset, l.offsetTerm = offset, term
}
