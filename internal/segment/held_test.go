package segment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
)

func TestHeldPacketsAreBoundedAndAskOnce(t *testing.T) {
	is := is.New(t)
	k := newHeldPackets()
	id := flow.ID{Key: 1}
	is.True(k.hold(0, id, 7, []byte{0}))
	is.True(!k.hold(time.Millisecond, id, 7, []byte{1}))                 // its answer is awaited
	is.True(!k.hold(time.Millisecond, id, 7, []byte{0}))                 // a retransmission
	is.True(k.hold(2*time.Millisecond, id, 8, []byte{0}))                // the next member
	is.True(k.hold(2*time.Millisecond+queryTimeout+1, id, 8, []byte{2})) // the question may be lost
	for n := byte(3); n < 100; n++ {
		k.hold(100*time.Millisecond, id, 8, []byte{n})
	}
	is.Equal(k.first(id), []byte{0})
	held := k.take(id)
	is.Equal(len(held), maxHeldPackets)
	is.Equal(held[1], []byte{1})
	is.Equal(k.first(id), nil)
	for n := range uint64(2 * maxHeldFlows) {
		k.hold(0, flow.ID{Key: n}, 7, []byte{0})
	}
	is.Equal(len(k.byFlow), maxHeldFlows)
	k.removeExpired(maxHeldTime + 1)
	is.Equal(len(k.byFlow), 0)
}
