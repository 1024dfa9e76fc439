package attempt

import "container/heap"

// timedKey is an idempotency key with the time that it contains.
type timedKey struct {
	time UnixMillis
	key  string
}

// expiryQueue holds keys, the oldest first. A key may be stored long after it was
// created, so that keys do not expire in the order in which they were added.
type expiryQueue []timedKey

func (q *expiryQueue) push(k timedKey) { heap.Push((*timedKeyHeap)(q), k) }

// pop removes the oldest key. The queue must not be empty.
func (q *expiryQueue) pop() timedKey {
	k, _ := heap.Pop((*timedKeyHeap)(q)).(timedKey)
	return k
}

// timedKeyHeap implements heap.Interface.
type timedKeyHeap []timedKey

func (h timedKeyHeap) Len() int           { return len(h) }
func (h timedKeyHeap) Less(i, j int) bool { return h[i].time < h[j].time }
func (h timedKeyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timedKeyHeap) Push(x any) {
	k, _ := x.(timedKey)
	*h = append(*h, k)
}

func (h *timedKeyHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
