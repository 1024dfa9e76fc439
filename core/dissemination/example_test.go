package dissemination_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarmount.org/core/dissemination"
)

// Connects one root to one daemon by function calls. The caller supplies the time;
// there are no goroutines.
func Example() {
	now := time.Second
	root, err := dissemination.NewRoot(1, dissemination.NewStore(dissemination.StoreOptions{}), dissemination.SourceOptions{
		BatchWindow: 200 * time.Millisecond,
		Rand:        rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	sink := dissemination.NewSink(now, dissemination.NewStore(dissemination.StoreOptions{}), dissemination.SinkOptions{DaemonID: "balancer-1"})

	const connection = dissemination.PeerID(1)
	take := func(out dissemination.Output) []dissemination.UpstreamMessage {
		for _, it := range out.Applied {
			fmt.Printf("%s %v %s\n", it.Key, it.Version, it.Body)
		}
		return out.Messages
	}
	pass := func(queue []dissemination.UpstreamMessage) {
		for ; len(queue) > 0; queue = queue[1:] {
			for _, d := range root.Receive(now, connection, queue[0]) {
				queue = append(queue, take(sink.Receive(now, d.Message))...)
			}
		}
	}

	at, err := root.Publish(dissemination.Item{Key: "service/7", Version: root.NextVersion(), Body: []byte("weight=100")})
	if err != nil {
		fmt.Println(err)
		return
	}
	root.RecordConfirmation(now) // A quorum has confirmed this root as the only one.
	pass(take(sink.Connect(now, 1)))
	for range 5 {
		now += 250 * time.Millisecond
		for _, d := range root.Tick(now) {
			pass(take(sink.Receive(now, d.Message)))
		}
		pass(take(sink.Tick(now)))
	}
	fmt.Println("in force at", root.Progress(at).Applied, "of", root.Progress(at).Total)
	// Output:
	// service/7 1.1 weight=100
	// in force at 1 of 1
}
