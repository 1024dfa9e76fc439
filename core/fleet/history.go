package fleet

import (
	"slices"
	"time"
)

// Limits of the history.
const (
	maxHistory      = 1_000   // versions
	maxHistoryItems = 100_000 // services, exceptions and defaults over all versions
)

// HistoryEntry describes one version of the document.
type HistoryEntry struct {
	Version    uint64      `cbor:"1,keyasint" json:"version"`
	Kind       CommandKind `cbor:"2,keyasint" json:"kind"`
	Author     string      `cbor:"3,keyasint" json:"author"`
	ProposedAt time.Time   `cbor:"4,keyasint" json:"at"`
	Comment    string      `cbor:"5,keyasint" json:"comment"`
	// Undo turns this version into the one before.
	Undo Patch `cbor:"6,keyasint" json:"-"`
}

// history holds the entries of the last versions, the oldest first. Versions
// follow each other without gaps.
type history struct {
	entries []HistoryEntry
	items   int
}

func newHistory(entries []HistoryEntry) *history {
	h := &history{}
	for _, e := range entries {
		h.add(e)
	}
	return h
}

func (h *history) add(e HistoryEntry) {
	h.entries = append(h.entries, e)
	h.items += e.Undo.Size()
	drop := 0
	for len(h.entries)-drop > 1 && (len(h.entries)-drop > maxHistory || h.items > maxHistoryItems) {
		h.items -= h.entries[drop].Undo.Size()
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
}

// since returns the entries of the versions after version. It is false where
// some of them are forgotten.
func (h *history) since(version, current uint64) ([]HistoryEntry, bool) {
	if version > current || current-version > uint64(len(h.entries)) {
		return nil, false
	}
	return h.entries[len(h.entries)-int(current-version):], true
}

// undoAll returns one patch that undoes entries, the newest first.
func undoAll(entries []HistoryEntry) Patch {
	services := make(map[string]*Service)
	exceptions := make(map[string]*Exception)
	var all Patch
	for _, e := range slices.Backward(entries) {
		if e.Undo.Defaults != nil {
			all.Defaults = e.Undo.Defaults
		}
		collect(services, e.Undo.PutServices, e.Undo.DeleteServices, serviceName)
		collect(exceptions, e.Undo.PutExceptions, e.Undo.DeleteExceptions, exceptionName)
	}
	all.PutServices, all.DeleteServices = flatten(services)
	all.PutExceptions, all.DeleteExceptions = flatten(exceptions)
	all.normalize()
	return all
}

// collect records the last word on each item; nil stands for deleted.
func collect[T any](last map[string]*T, put []T, deleted []string, name func(*T) string) {
	for _, n := range deleted {
		last[n] = nil
	}
	for i := range put {
		last[name(&put[i])] = &put[i]
	}
}

func flatten[T any](last map[string]*T) (put []T, deleted []string) {
	for n, item := range last {
		if item == nil {
			deleted = append(deleted, n)
			continue
		}
		put = append(put, *item)
	}
	slices.Sort(deleted)
	return put, deleted
}
