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
