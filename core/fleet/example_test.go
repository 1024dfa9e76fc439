package fleet_test

import (
	"fmt"
	"net/netip"

	"fulmarmount.org/core/fleet"
)

// Two operators base their commands on the same version. One command is accepted, and
// resending it after its response was lost returns the same result.
func Example() {
	order := &fleet.Document{
		Defaults: fleet.DefaultSettings(),
		Services: []fleet.Service{{
			Name:      "order-desk",
			Mode:      fleet.ModeRequest,
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:443")},
		}},
	}
	first := fleet.Command{Kind: fleet.KindApply, RequestID: "a1", Author: "jiwoo", Document: order}
	second := fleet.Command{Kind: fleet.KindApply, RequestID: "b1", Author: "minseo", Document: order}

	machine := fleet.New()
	for index, command := range []fleet.Command{first, second, first} {
		result := machine.Apply(uint64(index+1), command)
		fmt.Println(command.Author, result.Outcome, "version", result.Version)
	}
	// Output:
	// jiwoo accepted version 1
	// minseo conflict version 1
	// jiwoo accepted version 1
}
