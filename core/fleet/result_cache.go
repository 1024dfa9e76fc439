package fleet

import "slices"

// Limits of the result cache. Eviction depends only on the log, so all replicas
// evict the same results at the same index.
const (
	maxCachedResults   = 10_000
	cachedResultWindow = 1_000_000 // log indexes
)

// CachedResult is the stored result of the command with a request ID.
type CachedResult struct {
	RequestID string `cbor:"1,keyasint"`
	// Digest identifies the content of the command.
	Digest uint64 `cbor:"2,keyasint"`
	// Index is the log index of the command.
	Index  uint64 `cbor:"3,keyasint"`
	Result Result `cbor:"4,keyasint"`
}

// resultCache stores results by request ID, so that resent commands are not
// executed again. results is in log order.
type resultCache struct {
	results []CachedResult
	byID    map[string]CachedResult
}

func newResultCache(results []CachedResult) *resultCache {
	c := &resultCache{byID: make(map[string]CachedResult, len(results))}
	for _, result := range results {
		c.add(result)
	}
	return c
}

func (c *resultCache) find(requestID string) (CachedResult, bool) {
	result, ok := c.byID[requestID]
	return result, ok
}

func (c *resultCache) add(result CachedResult) {
	c.results = append(c.results, result)
	c.byID[result.RequestID] = result
	c.evict(result.Index)
}

// evict removes the results that exceed the limits at the given log index.
func (c *resultCache) evict(index uint64) {
	drop := max(0, len(c.results)-maxCachedResults)
	for drop < len(c.results) && c.results[drop].Index+cachedResultWindow <= index {
		drop++
	}
	for i := range drop {
		delete(c.byID, c.results[i].RequestID)
	}
	c.results = slices.Delete(c.results, 0, drop)
}

func (c *resultCache) snapshot() []CachedResult { return slices.Clone(c.results) }
