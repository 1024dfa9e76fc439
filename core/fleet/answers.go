package fleet

import "slices"

// Limits of the remembered answers. Both depend on the log alone, so every
// replica forgets the same answers at the same index.
const (
	maxAnswers    = 10_000
	answersWindow = 1_000_000 // log indexes
)

// CachedResult is the remembered result of a request ID.
type CachedResult struct {
	RequestID string `cbor:"1,keyasint"`
	// Digest identifies the command that was answered.
	Digest uint64 `cbor:"2,keyasint"`
	// Index is the log index of the command.
	Index  uint64 `cbor:"3,keyasint"`
	Result Result `cbor:"4,keyasint"`
}

// answers remembers results by request ID, the oldest first in list.
type answers struct {
	list []CachedResult
	byID map[string]CachedResult
}

func newAnswers(list []CachedResult) *answers {
	a := &answers{byID: make(map[string]CachedResult, len(list))}
	for _, answer := range list {
		a.add(answer)
	}
	return a
}

func (a *answers) find(requestID string) (CachedResult, bool) {
	answer, ok := a.byID[requestID]
	return answer, ok
}

func (a *answers) add(answer CachedResult) {
	a.list = append(a.list, answer)
	a.byID[answer.RequestID] = answer
	a.expire(answer.Index)
}

// expire forgets the answers that index leaves beyond the limits.
func (a *answers) expire(index uint64) {
	drop := max(0, len(a.list)-maxAnswers)
	for drop < len(a.list) && a.list[drop].Index+answersWindow <= index {
		drop++
	}
	for i := range drop {
		delete(a.byID, a.list[i].RequestID)
	}
	a.list = slices.Delete(a.list, 0, drop)
}

func (a *answers) snapshot() []CachedResult { return slices.Clone(a.list) }
