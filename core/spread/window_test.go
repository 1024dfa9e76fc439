package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A change that follows a quiet time is sent at once; those that follow it wait for
// the window, and then go together.
func TestFirstChangeDoesNotWaitForTheWindow(t *testing.T) {
	const window = 50 * time.Millisecond
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{BatchWindow: window, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	now := time.Second
	root.Confirm(now)
	sink := NewSink(now, NewStore(StoreOptions{}), SinkOptions{ID: "balancer-1"})
	pass := func(down []Delivery) (adopted int) {
		for len(down) > 0 {
			out := sink.Receive(now, down[0].Message)
			adopted += len(out.Adopted)
			down = down[1:]
			for _, m := range out.Messages {
				down = append(down, root.Receive(now, 1, m)...)
			}
		}
		return adopted
	}
	publish := func(key string) {
		_, err := root.Publish(Item{Key: key, Version: root.Next(), Body: []byte("x")})
		is.NoErr(err)
	}
	for _, m := range sink.Connect(now, 1).Messages {
		pass(root.Receive(now, 1, m))
	}
	publish("service/1")
	is.True(root.Due(now))
	is.Equal(pass(root.Tick(now)), 1)

	now += time.Millisecond
	publish("service/2")
	is.True(!root.Due(now))
	is.Equal(pass(root.Tick(now)), 0)
	publish("service/3")
	now += window
	is.Equal(pass(root.Tick(now)), 2)
	is.True(!root.Due(now)) // nothing waits
}
