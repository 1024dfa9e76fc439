package view_test

import (
	"fmt"

	"fulmarmount.org/core/view"
)

// A process adopts a view only if it is newer than the one it has.
func ExampleVersion_Newer() {
	inForce := view.New(1, view.Version{Epoch: 2, Number: 7}, []view.BackendServer{
		{ID: "host-2", State: view.Draining},
		{ID: "host-1", State: view.Ready, Weight: view.FullWeight},
	})
	late := view.Version{Epoch: 1, Number: 9}
	fmt.Println(late.Newer(inForce.Version))
	for i := range inForce.Members {
		m := &inForce.Members[i]
		fmt.Println(m.ID, m.State, m.AcceptsNewFlows())
	}
	// Output:
	// false
	// host-1 ready true
	// host-2 draining false
}
