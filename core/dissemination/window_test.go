package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// If Sink and Source start together, the first status may be confirmed as of a time
// before the start of the Sink. The Sink must probe again soon, and then at a growing
// interval.
func TestSinkProbeIntervalDoublesUntilSynced(t *testing.T) {
	const tick = 50 * time.Millisecond
	is := is.New(t)
	sink := NewSink(0, NewStore(StoreOptions{}), SinkOptions{DaemonID: "balancer-1", SyncProbeInterval: 250 * time.Millisecond})
	sink.Connect(0, 1)
	var probedAt []time.Duration
	for now := tick; now <= time.Second; now += tick {
		if len(sink.Tick(now).Messages) > 0 {
			probedAt = append(probedAt, now)
		}
	}
	is.Equal(probedAt, []time.Duration{tick, 3 * tick, 7 * tick, 12 * tick, 17 * tick})
}

// The first change after a pause is sent without delay. Changes within the batch
// window after it must wait and are sent as one batch.
func TestFirstChangeSkipsBatchWindow(t *testing.T) {
	const window = 50 * time.Millisecond
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{BatchWindow: window, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	now := time.Second
	root.RecordConfirmation(now)
	sink := NewSink(now, NewStore(StoreOptions{}), SinkOptions{DaemonID: "balancer-1"})
	exchange := func(deliveries []Delivery) (appliedCount int) {
		for len(deliveries) > 0 {
			out := sink.Receive(now, deliveries[0].Message)
			appliedCount += len(out.Applied)
			deliveries = deliveries[1:]
			for _, m := range out.Messages {
				deliveries = append(deliveries, root.Receive(now, 1, m)...)
			}
		}
		return appliedCount
	}
	publish := func(key string) {
		_, err := root.Publish(Item{Key: key, Version: root.NextVersion(), Body: []byte("x")})
		is.NoErr(err)
	}
	for _, m := range sink.Connect(now, 1).Messages {
		exchange(root.Receive(now, 1, m))
	}
	publish("service/1")
	is.True(root.BatchDue(now))
	is.Equal(exchange(root.Tick(now)), 1)

	now += time.Millisecond
	publish("service/2")
	is.True(!root.BatchDue(now))
	is.Equal(exchange(root.Tick(now)), 0)
	publish("service/3")
	now += window
	is.Equal(exchange(root.Tick(now)), 2)
	is.True(!root.BatchDue(now)) // no unsent changes
}
