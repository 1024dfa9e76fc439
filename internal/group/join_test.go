package group

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitLeader waits for the leader's address by the channel of Leadership alone.
func awaitLeader(t *testing.T, g *Group) Leadership {
	t.Helper()
	for end := time.After(patience); ; {
		l, changed := g.Leadership()
		if l.Leader.IsValid() {
			return l
		}
		select {
		case <-changed:
		case <-end:
			t.Fatal("no leader's address was announced")
		}
	}
}

// A process whose disk was emptied starts without peers, asks to be added, takes
// the place of its former self, and can pass daemons on to the leader.
func TestEmptiedReplicaTakesItsPlaceAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3)
	var all []*process
	for _, p := range b.peers {
		all = append(all, b.open(p))
	}
	leader := awaitLeader(t, all[0].Group).Leader
	i := 0
	for b.peers[i].Addr == leader {
		i++
	}
	lost := all[i].self.ID
	all[i].close()
	is.NoErr(os.RemoveAll(b.path(b.peers[i])))
	b.joining = true
	again := b.open(b.peers[i])
	l, _ := again.Leadership()
	is.True(l.Waiting || l.Leader.IsValid()) // until it was added
	is.True(awaitLeader(t, again.Group).Leader.IsValid())
	until(t, "the emptied replica votes in place of the lost one", func() bool {
		n := again.current()
		if n == nil {
			return false
		}
		members := n.Status().Membership
		_, stays := members.Find(lost)
		return members.IsVoter(again.self.ID) && !stays && members.VoterCount() == 3
	})
}
