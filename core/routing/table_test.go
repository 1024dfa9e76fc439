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

// Guards against the loss of an open flow's backend server to a view of the service that
// had its address before. Views of two services may arrive in any order.
func TestNewerViewHasTheAddress(t *testing.T) {
	successor := server(9)
	successor.Packets = server(3).Packets
	older := view.New(testService, view.Version{Epoch: 1, Number: 4}, servers(1, 3))
	newer := view.New(otherService, view.Version{Epoch: 1, Number: 5}, []view.BackendServer{successor})
	for name, order := range map[string][]*view.View{
		"older first":  {older, newer},
		"newer first":  {newer, older},
		"newer twice":  {newer, older, newer},
		"older twice":  {older, newer, older},
		"next of both": {older, newer, view.New(testService, view.Version{Epoch: 1, Number: 6}, servers(1, 2))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for _, v := range order {
				table = table.WithView(testNow, v)
			}
			is.Equal(len(table.members[otherService]), 1)
			is.Equal(len(table.members[testService]), 2)
		})
	}
}

// An address goes back to the service whose view is the newest.
func TestAddressThatGoesBackIsFollowed(t *testing.T) {
	is := is.New(t)
	successor := server(9)
	successor.Packets = server(3).Packets
	table := NewTable().
		WithView(testNow, view.New(testService, view.Version{Epoch: 1, Number: 4}, servers(1, 3))).
		WithView(testNow, view.New(otherService, view.Version{Epoch: 1, Number: 5}, []view.BackendServer{successor})).
		WithView(testNow, view.New(testService, view.Version{Epoch: 1, Number: 6}, servers(1, 3)))
	is.Equal(len(table.members[testService]), 3)
	is.Equal(len(table.members[otherService]), 0)
}
