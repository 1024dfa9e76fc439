package quorum_test

import (
	"fmt"
	"math/rand/v2"

	"fulmarmount.org/core/quorum"
)

// A cluster with a single replica: the loop saves, sends, applies and advances.
func Example() {
	hard, snapshot := quorum.Bootstrap(1, quorum.Member{ID: 42, Name: "vm-1"})
	replica, err := quorum.New(quorum.Config{
		ID: 42, Rand: rand.New(rand.NewPCG(1, 2)), HardState: hard, Snapshot: snapshot,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for replica.Status().Role != quorum.Leader {
		replica.Tick()
	}
	if err := replica.Propose(1, []byte("drain vm-7")); err != nil {
		fmt.Println(err)
		return
	}
	for {
		ready := replica.Ready()
		if ready.IsEmpty() {
			break
		}
		// Save ready.HardState and ready.Entries, then send ready.Messages.
		for _, entry := range ready.CommittedEntries {
			if entry.Kind == quorum.EntryCommand {
				fmt.Printf("entry %d of term %d: %s\n", entry.Index, entry.Term, entry.Data)
			}
		}
		replica.Advance(ready)
	}
	// Output: entry 3 of term 2: drain vm-7
}
