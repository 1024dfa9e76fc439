package replica

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

// Replicas that come back together elect a leader without waiting for their clocks. The
// last one to start takes precedence here, as no message reaches it before.
func TestReplicasElectALeaderWithoutATick(t *testing.T) {
	is := is.New(t)
	stores := memoryStores(t, 3)
	slices.SortFunc(stores, func(a, b Store) int { return cmp.Compare(a.Replica(), b.Replica()) })
	c := newCluster(t, stores...)
	last := c.nodes[stores[2].Replica()]
	for {
		soft, changed := last.Leader()
		if soft.Role == quorum.Leader {
			break
		}
		<-changed
	}
	is.Equal(c.elapsedTicks, 0)
}
