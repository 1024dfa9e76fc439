package group

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitLeader waits until the leader's address is known. It relies only on the
// channel that Leadership returns, so it fails if a change is not signaled.
func awaitLeader(t *testing.T, g *Group) Leadership {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		l, changed := g.Leadership()
		if l.LeaderAddr.IsValid() {
			return l
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatal("Leadership did not signal a leader with an address")
		}
	}
}

// A process whose disk was wiped starts without peers and requests to join. It must
// replace its former member and learn the leader's address, to which it redirects
// daemons.
func TestReplicaWithWipedDiskReplacesItsFormerMember(t *testing.T) {
	is := is.New(t)
	b := newTestGroup(t, 3)
	var processes []*process
	for _, p := range b.peers {
		processes = append(processes, b.open(p))
	}
	leader := awaitLeader(t, processes[0].Group).LeaderAddr
	i := 0
	for b.peers[i].Addr == leader {
		i++
	}
	lostID := processes[i].self.ID
	processes[i].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[i])))
	b.requestsJoin = true
	rejoined := b.open(b.peers[i])
	l, _ := rejoined.Leadership()
	is.True(l.HasNoCluster || l.LeaderAddr.IsValid()) // no cluster until it is added
	is.True(awaitLeader(t, rejoined.Group).LeaderAddr.IsValid())
	eventually(t, "the rejoined replica is a voter and the lost one is removed", func() bool {
		n := rejoined.currentNode()
		if n == nil {
			return false
		}
		members := n.Status().Membership
		_, lostIsMember := members.Find(lostID)
		return members.IsVoter(rejoined.self.ID) && !lostIsMember && members.VoterCount() == 3
	})
}
