package lease_test

import (
	"fmt"
	"net/netip"
	"time"

	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/view"
)

func Example() {
	registry := lease.NewRegistry(lease.Options{})
	registry.StartEpoch(0, 1, nil)
	err := registry.Announce(0, 1, view.Announcement{
		ID: "a", Incarnation: 1, Sequence: 1, Healthy: true, AdoptedVersion: view.Version{Epoch: 1, Number: 1},
		Packets: netip.MustParseAddrPort("192.0.2.10:7000"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(registry.Tick(time.Second))) // the collection period has not ended
	for _, v := range registry.Tick(3 * time.Second) {
		fmt.Println(v.Version, v.Members[0].ID, v.Members[0].State)
	}
	// Output:
	// 0
	// 1.1 a ready
}

// Reports that a backend server is healthy do not outweigh the failures that this process
// has seen itself.
func ExampleHealthEstimator() {
	h := lease.NewHealthEstimator(lease.HealthEstimatorOptions{})
	for range 20 {
		h.RecordOutcome(0, false)
		h.RecordReport(0, 0, true)
	}
	fmt.Printf("%.1f\n", h.Score(0))
	// Output: 0.2
}

// A connection that went silent is replaced by one from a new port before the peer
// counts as unresponsive.
func ExampleLink() {
	link := lease.NewLink(0, lease.LinkOptions{})
	now := time.Duration(0)
	for link.Tick(now) != lease.LinkOpenReplacement {
		now += 100 * time.Millisecond
	}
	fmt.Println(now, link.RecordReplacementReceive(now) == lease.LinkUseReplacement, link.State() == lease.LinkUp)
	// Output: 1.7s true true
}
