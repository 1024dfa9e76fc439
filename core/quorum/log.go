package quorum

import "slices"

// configAt is the membership from the entry at Index on.
type configAt struct {
	index      uint64
	membership Membership
}

// entryLog holds the entries after offset, and the latest snapshot.
type entryLog struct {
	snapshot   Snapshot
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// configs holds the membership of the snapshot, then that of each change
	// in the log. The last one is in force, committed or not (thesis, 4.1).
	configs []configAt

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
		// The term before the first entry is unknown; drop that entry and
		// let it stand for the offset.
		l.offset, l.offsetTerm = first.Index, first.Term
		entries = entries[1:]
	}
	for i := range entries {
		if want := l.lastIndex() + 1; entries[i].Index != want {
			return nil, ErrInvalidState.New("log has entry %d where %d belongs", entries[i].Index, want)
		}
		if entries[i].Term < l.lastTerm() {
			return nil, ErrInvalidState.New("term falls from %d to %d at entry %d", l.lastTerm(), entries[i].Term, entries[i].Index)
		}
		l.push(entries[i])
	}
	l.stable = l.lastIndex()
	return l, nil
}

// LogMatchesSnapshot reports whether entries reach snapshot and agree with it. If
// not, the snapshot came from a leader and replaces them (paper, section 7).
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

// reset replaces everything by snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = entryLog{
		snapshot:   snapshot,
		offset:     snapshot.Index,
		offsetTerm: snapshot.Term,
		configs:    []configAt{{index: snapshot.Index, membership: snapshot.Membership}},
		stable:     snapshot.Index,
		committed:  snapshot.Index,
		applied:    snapshot.Index,
	}
}

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; false if the log lacks it.
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

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// upToDate reports whether a log ending at (index, term) is at least as
// complete as this one (paper, section 5.4.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	if last := l.lastTerm(); term != last {
		return term > last
	}
	return index >= l.lastIndex()
}

func (l *entryLog) membership() Membership { return l.configs[len(l.configs)-1].membership }

func (l *entryLog) configIndex() uint64 { return l.configs[len(l.configs)-1].index }

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].membership
		}
	}
	return l.configs[0].membership
}

// push appends e, which must be next, and takes its membership change into force.
func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryChange || e.Change == nil || e.Index <= l.snapshot.Index {
		return
	}
	// A leader proposes valid changes only, so the error cannot happen here.
	if next, err := l.membership().Apply(*e.Change); err == nil {
		l.configs = append(l.configs, configAt{index: e.Index, membership: next})
	}
}

// merge adds a leader's entries, dropping a conflicting suffix of its own
// (paper, figure 2: AppendEntries, rules 3 and 4).
func (l *entryLog) merge(entries []Entry) {
	for i := range entries {
		e := entries[i]
		if e.Index <= l.offset || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		l.push(e)
	}
}

// truncate drops the entries from index on, with their membership changes.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.offset-1])
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// between returns the entries after lo up to and including hi.
func (l *entryLog) between(lo, hi uint64) []Entry {
	if lo >= hi {
		return nil
	}
	from, to := lo-l.offset, hi-l.offset
	return l.entries[from:to:to]
}

// from returns the entries from index on, at least one and at most maxBytes.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	all := l.entries[index-l.offset-1:]
	size := 0
	for i := range all {
		size += all[i].size()
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// lastAtMost returns the last index up to index whose term is at most term.
// The log is known to differ after it from a log with term there.
func (l *entryLog) lastAtMost(index, term uint64) (uint64, uint64) {
	if index < l.offset {
		return index, 0
	}
	for i := min(index, l.lastIndex()); i > l.offset; i-- {
		if have := l.entries[i-l.offset-1].Term; have <= term {
			return i, have
		}
	}
	return l.offset, l.offsetTerm
}

// compact takes over a snapshot of applied state and drops the entries up to
// keep entries before it.
func (l *entryLog) compact(snapshot Snapshot, keep uint64) {
	l.snapshot = snapshot
	for len(l.configs) > 1 && l.configs[1].index <= snapshot.Index {
		l.configs = l.configs[1:]
	}
	if snapshot.Index <= l.offset+keep {
		return
	}
	offset := snapshot.Index - keep
	term, _ := l.term(offset)
	l.entries = slices.Clone(l.entries[offset-l.offset:])
	l.offset, l.offsetTerm = offset, term
}
