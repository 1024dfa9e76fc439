package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that starts beside its Source asks soon whether its state is current:
// the first answer may date from before the start. Later it asks less often.
func TestSinkAsksSoonAfterItsStart(t *testing.T) {
	const tick = 50 * time.Millisecond
	is := is.New(t)
	sink := NewSink(0, NewStore(StoreOptions{}), SinkOptions{DaemonID: "balancer-1", SyncProbeInterval: 250 * time.Millisecond})
	sink.Connect(0, 1)
	var asked []time.Duration
	for now := tick; now <= time.Second; now += tick {
		if len(sink.Tick(now).Messages) > 0 {
			asked = append(asked, now)
		}
	}
	is.Equal(asked, []time.Duration{tick, 3 * tick, 7 * tick, 12 * tick, 17 * tick})
}

// A change that follows a quiet time is sent at once; those that follow it wait for
// the window, and then go together.
func TestFirstChangeDoesNotWaitForTheWindow(t *testing.T) {
	const window = 50 * time.Millisecond
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{BatchWindow: window, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	now := time.Second
	root.RecordConfirmation(now)
	sink := NewSink(now, NewStore(StoreOptions{}), SinkOptions{DaemonID: "balancer-1"})
	pass := func(down []Delivery) (adopted int) {
		for len(down) > 0 {
			out := sink.Receive(now, down[0].Message)
			adopted += len(out.Applied)
			down = down[1:]
			for _, m := range out.Messages {
				down = append(down, root.Receive(now, 1, m)...)
			}
		}
		return adopted
	}
	publish := func(key string) {
		_, err := root.Publish(Item{Key: key, Version: root.NextVersion(), Body: []byte("x")})
		is.NoErr(err)
	}
	for _, m := range sink.Connect(now, 1).Messages {
		pass(root.Receive(now, 1, m))
	}
	publish("service/1")
	is.True(root.BatchDue(now))
	is.Equal(pass(root.Tick(now)), 1)

	now += time.Millisecond
	publish("service/2")
	is.True(!root.BatchDue(now))
	is.Equal(pass(root.Tick(now)), 0)
	publish("service/3")
	now += window
	is.Equal(pass(root.Tick(now)), 2)
	is.True(!root.BatchDue(now)) // nothing waits
}
