package dissemination

import (
	"math/rand"
	randv2 "math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"time"
)

// random returns a value of type T with random content, most of it impossible.
func random[T any](r *rand.Rand) T {
	value, _ := quick.Value(reflect.TypeFor[T](), r)
	out, _ := value.Interface().(T)
	return out
}

// A daemon with a fault may send anything to its source, and a source to its daemons.
// That must not take the other side down.
func TestNoMessageStopsSourceOrSink(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{Rand: randv2.New(randv2.NewPCG(uint64(seed), 1))})
		if err != nil {
			t.Fatal(err)
		}
		sink := NewSink(0, NewStore(StoreOptions{}), SinkOptions{DaemonID: "a"})
		sink.Connect(0, 1)
		for step := range 60 {
			now := time.Duration(step) * 100 * time.Millisecond
			up, down := random[UpstreamMessage](r), random[DownstreamMessage](r)
			up.Session, down.Session = uint64(r.Intn(3)), uint64(r.Intn(3))
			if up.Subscribe != nil && len(up.Subscribe.DaemonID) > 3 {
				up.Subscribe.DaemonID = up.Subscribe.DaemonID[:3]
			}
			root.Receive(now, PeerID(r.Intn(4)), up)
			root.Tick(now)
			sink.Receive(now, down)
			sink.Tick(now)
		}
	}
}
