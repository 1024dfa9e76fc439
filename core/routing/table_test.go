package routing

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

func TestPlacementCandidatesAreFirstInRendezvousOrder(t *testing.T) {
	is := is.New(t)
	members := servers(1, 40)
	for i := range members {
		if i%3 == 0 {
			members[i].State = view.Draining
		}
	}
	table := newBalancer(members...).Table()
	for key := range uint64(200) {
		var want []*member
		for _, m := range table.rankMembers(key, testService) {
			if m.acceptsNew && len(want) < maxPlacementCandidates {
				want = append(want, m)
			}
		}
		is.Equal(table.placementCandidates(key, testService), want)
	}
	is.Equal(len(table.placementCandidates(1, otherService)), 0) // a service without members
}
