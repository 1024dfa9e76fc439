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

// A new leader publishes the configuration, first views and complete views within a few
// round trips. The first windows are short, and later ones have their full length.
func TestFirstBatchWindowsAreShort(t *testing.T) {
	const window = 48 * time.Millisecond
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{BatchWindow: window, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	var waits []time.Duration
	now := time.Second
	for range 6 {
		_, err := root.Publish(Item{Key: "view/1", Version: root.NextVersion(), Body: []byte("x")})
		is.NoErr(err)
		waits = append(waits, root.BatchDueAfter(now))
		now += root.BatchDueAfter(now)
		is.True(root.BatchDue(now))
		root.Tick(now)
	}
	is.Equal(waits, []time.Duration{0, window / 8, window / 4, window / 2, window, window})
	is.Equal(root.BatchDueAfter(now), time.Duration(0)) // no unsent changes
}

// Daemons reach a new leader before a majority has confirmed it. They learn of the
// confirmation with it, not at their next probe.
func TestConfirmationReachesWaitingSubscribers(t *testing.T) {
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{BatchWindow: time.Hour, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	_, err = root.Publish(Item{Key: "service/1", Version: root.NextVersion(), Body: []byte("x")})
	is.NoErr(err)
	now := time.Second
	root.Tick(now)
	sink := NewSink(now, NewStore(StoreOptions{}), SinkOptions{DaemonID: "balancer-1"})
	applied := 0
	receive := func(deliveries []Delivery) {
		for _, d := range deliveries {
			applied += len(sink.Receive(now, d.Message).Applied)
		}
	}
	for _, m := range sink.Connect(now, 1).Messages {
		receive(root.Receive(now, 1, m))
	}
	receive(root.Tick(now))
	is.Equal(applied, 0)
	now += time.Millisecond
	root.RecordConfirmation(now)
	receive(root.Tick(now))
	is.Equal(applied, 1)
	is.True(sink.HasSynced())
	is.Equal(len(root.Tick(now)), 0) // answered once
}
