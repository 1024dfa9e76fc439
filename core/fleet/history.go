package fleet

import (
	"slices"
	"time"
)

// Limits of the history.
const (
	maxHistoryVersions = 1_000   // versions
	maxHistoryItems    = 100_000 // services, exceptions and defaults over all versions
)

// HistoryEntry describes one version of the document.
type HistoryEntry struct {
	Version    uint64      `cbor:"1,keyasint" json:"version"`
	Kind       CommandKind `cbor:"2,keyasint" json:"kind"`
	Author     string      `cbor:"3,keyasint" json:"author"`
	ProposedAt time.Time   `cbor:"4,keyasint" json:"at"`
	Comment    string      `cbor:"5,keyasint" json:"comment"`
	// Undo is the patch that reverts this version to the previous one.
	Undo Patch `cbor:"6,keyasint" json:"-"`
}

// history stores the entries of the latest versions, oldest first and without gaps.
type history struct {
	entries   []HistoryEntry
	itemCount int
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
	h.itemCount += e.Undo.Size()
	drop := 0
	for len(h.entries)-drop > 1 && (len(h.entries)-drop > maxHistoryVersions || h.itemCount > maxHistoryItems) {
		h.itemCount -= h.entries[drop].Undo.Size()
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
}

// entriesSince returns the entries of the versions after version, or false if some of
// them are no longer stored or version is greater than current.
func (h *history) entriesSince(version, current uint64) ([]HistoryEntry, bool) {
	if version > current || current-version > uint64(len(h.entries)) {
		return nil, false
	}
	return h.entries[len(h.entries)-int(current-version):], true
}

// combineUndo returns a single patch that reverts all entries, newest first.
func combineUndo(entries []HistoryEntry) Patch {
	services := make(map[string]*Service)
	exceptions := make(map[string]*Exception)
	var combined Patch
	for _, e := range slices.Backward(entries) {
		if e.Undo.Defaults != nil {
			combined.Defaults = e.Undo.Defaults
		}
		recordChanges(services, e.Undo.PutServices, e.Undo.DeleteServices, serviceName)
		recordChanges(exceptions, e.Undo.PutExceptions, e.Undo.DeleteExceptions, exceptionName)
	}
	combined.PutServices, combined.DeleteServices = splitChanges(services)
	combined.PutExceptions, combined.DeleteExceptions = splitChanges(exceptions)
	combined.normalize()
	return combined
}

// recordChanges sets the state of each item that a patch changes, nil if it is deleted.
// It overrides the changes of patches that were recorded before.
func recordChanges[T any](items map[string]*T, put []T, deleted []string, name func(*T) string) {
	for _, n := range deleted {
		items[n] = nil
	}
	for i := range put {
		items[name(&put[i])] = &put[i]
	}
}

func splitChanges[T any](items map[string]*T) (put []T, deleted []string) {
	for n, item := range items {
		if item == nil {
			deleted = append(deleted, n)
			continue
		}
		put = append(put, *item)
	}
	slices.Sort(deleted)
	return put, deleted
}
