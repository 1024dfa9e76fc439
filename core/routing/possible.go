package routing

import "slices"

// searchMargin is the number of candidates that a search assumes in addition to
// maxPlacementCandidates, since a balancer may briefly lack a member whose address
// another service uses already.
const searchMargin = 2

// possibleOwners returns the members that may own a flow, in the order of ranked, which
// is the rendezvous order of the flow's key.
//
// It answers the load after a loss of power: every caller then sends on a flow that no
// backend server owns any more, and to ask all members about each of these flows takes
// more than the links and processors of the balancers have.
//
// A flow is placed on one of the first maxPlacementCandidates that accept new flows in
// some view, and an agent accepts it only for the incarnation that the view lists. So a
// member cannot own it if every view since the first that placed flows on the member's
// incarnation has enough members before it that accept new flows.
func possibleOwners(ranked []*member) []*member {
	var out []*member
	var before acceptingMembers
	for _, m := range ranked {
		if !before.excludeOwner(m) {
			out = append(out, m)
		}
		before.add(m)
	}
	return out
}

// acceptingMembers are the members that have accepted new flows for longest among those
// seen so far: the numbers of the views since which they do, ascending.
type acceptingMembers struct {
	epoch uint64
	since []uint64
}

// add adds a member if it accepts new flows.
func (a *acceptingMembers) add(m *member) {
	if !m.acceptsNew || m.acceptingSince == 0 {
		return
	}
	a.epoch = m.listedIn.Epoch // that of the view, as it lists every member that accepts new flows
	i, _ := slices.BinarySearch(a.since, m.acceptingSince)
	a.since = slices.Insert(a.since, i, m.acceptingSince)
	a.since = a.since[:min(len(a.since), maxPlacementCandidates+searchMargin)]
}

// excludeOwner reports whether enough of the members have accepted new flows in every
// view that placed flows on m.
func (a *acceptingMembers) excludeOwner(m *member) bool {
	if m.firstAccepting == 0 || m.listedIn.Epoch != a.epoch || len(a.since) < maxPlacementCandidates+searchMargin {
		return false
	}
	return a.since[len(a.since)-1] <= m.firstAccepting
}
