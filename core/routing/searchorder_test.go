package routing

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// movedBalancer returns a balancer whose address leads to the last of n services with size
// members each, and has led to the others.
func movedBalancer(n, size int, firstAccepting uint64) *Balancer {
	b := NewBalancer("a")
	table := b.Table()
	var route Route
	for i := range n {
		id := view.ServiceID(i + 1)
		members := manyServers(size, func(int) uint64 { return firstAccepting })
		for j := range members {
			members[j].ID = fmt.Sprintf("host-%d-%d", i, j)
			members[j].Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(j >> 8), byte(j)}), 7000)
			members[j].AcceptingSince = 1
		}
		ws := WeightedService{Service: id}
		if i == n-1 {
			ws.Weight = 1
		}
		route.Services = append(route.Services, ws)
		table = table.WithView(0, view.New(id, view.Version{Epoch: 1, Number: 1}, members))
	}
	b.SetTable(table.WithRoutes(Routes{address: route}))
	b.ConfirmConfig()
	return b
}

// Guards against flows that are not found, or are reset, at one of many services that their
// address has led to.
func TestFlowIsFoundAtEachOfManyServices(t *testing.T) {
	const services = 30
	for _, firstAccepting := range []uint64{0, 1} { // whether views may leave out members
		b := movedBalancer(services, 40, firstAccepting)
		for service := view.ServiceID(1); service <= services; service++ {
			is := is.New(t)
			s := data(int(service))
			owner := b.Table().placementCandidates(s.Tuple.ID().Key, service)[maxPlacementCandidates-1]
			d := b.Steer(testNow, s)
			probes := 1
			for d.Verdict == Forward && d.To != owner.peer {
				d = b.HandleReturn(testNow, s, ReturnInfo{Service: d.Service, Seed: d.To.Seed, Hops: d.Hops})
				probes++
			}
			is.Equal(d.To, owner.peer)
			is.True(probes <= services*likelyOwners)
		}
	}
}

// A flow that nobody owns is reset, whatever the number of services, once all have said so.
func TestLostFlowOfManyServicesIsReset(t *testing.T) {
	is := is.New(t)
	probed, last := returnFromAll(movedBalancer(30, 40, 1), data(1))
	is.Equal(last, Decision{Verdict: Reset, Reason: ReasonFlowNotFound})
	is.Equal(len(probed), 30*likelyOwners)
	_, last = returnFromAll(movedBalancer(2, maxServiceMembers+1, 0), data(1))
	is.Equal(last, Decision{Verdict: Drop, Reason: ReasonSearchLimit})
}
