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
	is.Equal(k.hold(0, id, 7, []byte{0}), heldToAsk)
	is.Equal(k.hold(time.Millisecond, id, 7, []byte{1}), heldAsked)                  // its answer is awaited
	is.Equal(k.hold(time.Millisecond, id, 7, []byte{0}), heldAsked)                  // a retransmission
	is.Equal(k.hold(2*time.Millisecond, id, 8, []byte{0}), heldToAsk)                // the next member
	is.Equal(k.hold(2*time.Millisecond+queryTimeout+1, id, 8, []byte{2}), heldToAsk) // the question may be lost
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
	is.Equal(k.hold(0, flow.ID{Key: 2 * maxHeldFlows}, 7, []byte{0}), notHeld) // its packet is sent
	k.removeExpired(maxHeldTime + 1)
	is.Equal(len(k.byFlow), 0)
}
