package segment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
)

func TestPacketBufferGivesItsPacketsInOrderAndForgetsOldOnes(t *testing.T) {
	is := is.New(t)
	k := newPacketBuffer(time.Second)
	k.put(20*time.Millisecond, flow.ID{Key: 2}, []byte("second"))
	k.put(10*time.Millisecond, flow.ID{Key: 1}, []byte("first"))
	k.put(30*time.Millisecond, flow.ID{Key: 1}, []byte("a retransmission"))
	k.put(-time.Second, flow.ID{Key: 3}, []byte("old"))
	k.removeExpired(20 * time.Millisecond)
	all := k.takeAll()
	is.Equal(len(all), 2)
	is.Equal(string(all[0].data), "first")
	is.Equal(string(all[1].data), "second")
	is.Equal(len(k.takeAll()), 0)
}
