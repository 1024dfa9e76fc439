package view_test

import (
	"fmt"

	"fulmarmount.org/core/view"
)

// A process adopts a view only if it is newer than its current view.
func ExampleVersion_Newer() {
	current := view.New(1, view.Version{Epoch: 2, Number: 7}, []view.BackendServer{
		{ID: "host-2", State: view.Draining},
		{ID: "host-1", State: view.Ready, Weight: view.FullWeight},
	})
	stale := view.Version{Epoch: 1, Number: 9}
	fmt.Println(stale.Newer(current.Version))
	for i := range current.Members {
		m := &current.Members[i]
		fmt.Println(m.ID, m.State, m.AcceptsNewFlows())
	}
	// Output:
	// false
	// host-1 ready true
	// host-2 draining false
}
