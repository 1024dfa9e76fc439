package group

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

// crash ends the process without an announcement, as a kill does.
func (p *process) crash() {
	_ = p.server.Close()
	p.pool.Close()
	p.server = nil
	p.cancel()
	p.background.Wait()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.currentNode().Stop(ended)
	p.link.Close()
	_ = p.store.Close()
}

// openWithSuccessor opens three founding replicas and a fourth one that waits as a learner
// with the whole log.
func openWithSuccessor(t *testing.T, b *testGroup) (founders []*process, successor *process) {
	t.Helper()
	for _, p := range b.peers {
		founders = append(founders, b.open(p))
	}
	awaitLeader(t, founders[0].Group)
	propose(t, founders[0], "before")
	b.requestsJoin = true
	successor = b.open(Peer{Name: "vm-3", Addr: freeAddr(t)})
	eventually(t, "the successor has the log", func() bool {
		s := successor.currentNode().Status()
		_, isMember := s.Membership.Find(successor.self.ID)
		return isMember && !s.Membership.IsVoter(successor.self.ID)
	})
	propose(t, founders[0], "joined")
	return founders, successor
}

func propose(t *testing.T, p *process, command string) {
	t.Helper()
	eventually(t, "proposal of "+command, func() bool {
		_, err := p.Propose(context.Background(), []byte(command))
		return err == nil
	})
}

func findByRole(processes []*process, role quorum.Role) int {
	for i, p := range processes {
		if p.currentNode().Status().Role == role {
			return i
		}
	}
	return -1
}

// Guards against the loss of the group by one disk after a planned replacement: a process
// that stops while its successor waits left its vote behind.
func TestNextLossRightAfterPlannedDepartureIsTolerated(t *testing.T) {
	for _, departing := range []quorum.Role{quorum.Follower, quorum.Leader} {
		t.Run(departing.String(), func(t *testing.T) {
			is := is.New(t)
			b := newTestGroup(t, 3)
			founders, successor := openWithSuccessor(t, b)
			i := findByRole(founders, departing)
			founders[i].close() // as on SIGTERM; it never returns
			lost := founders[(i+1)%3]
			lost.crash()
			is.NoErr(os.RemoveAll(b.path(b.peers[(i+1)%3])))

			propose(t, successor, "after")
			is.NoErr(successor.Barrier(context.Background()))
		})
	}
}

// Guards against a restart that costs the group a member: a process that gave its vote to
// a waiting learner follows the leader as a learner when it is back.
func TestRestartedReplicaThatGaveItsVoteFollowsAgain(t *testing.T) {
	is := is.New(t)
	b := newTestGroup(t, 3)
	founders, successor := openWithSuccessor(t, b)
	i := findByRole(founders, quorum.Follower)
	founders[i].close()
	is.True(isVoter(context.Background(), successor, successor.self.ID))
	back := b.open(b.peers[i])
	is.Equal(back.self.ID, founders[i].self.ID)
	is.NoErr(back.Barrier(context.Background()))
	is.True(!back.currentNode().Status().Membership.IsVoter(back.self.ID))

	// It takes over the next vote in turn.
	lost := founders[(i+1)%3]
	lost.close()
	eventually(t, "the restarted replica is a voter", func() bool { return isVoter(context.Background(), back, back.self.ID) })
	propose(t, back, "after")
}

// Guards against stops that wait for a learner that leaves too, or for one another.
func TestReplicasThatStopTogetherLoseNothing(t *testing.T) {
	is := is.New(t)
	b := newTestGroup(t, 3)
	founders, successor := openWithSuccessor(t, b)
	stopped := make(chan struct{})
	for _, p := range append(founders, successor) {
		go func() {
			p.close()
			stopped <- struct{}{}
		}()
	}
	for range 4 {
		<-stopped
	}
	var back []*process
	for _, p := range b.peers {
		back = append(back, b.open(p))
	}
	back = append(back, b.open(Peer{Name: "vm-3", Addr: successor.options.Addr}))
	propose(t, back[0], "after")
	for _, p := range back {
		is.NoErr(p.Barrier(context.Background()))
	}
}

// A process that ends without a word is replaced by the waiting learner. The test logs how
// soon, and bounds nothing.
func TestSilentDepartureIsReplaced(t *testing.T) {
	for _, departing := range []quorum.Role{quorum.Follower, quorum.Leader} {
		t.Run(departing.String(), func(t *testing.T) {
			b := newTestGroup(t, 3)
			b.tick = 50 * time.Millisecond
			founders, successor := openWithSuccessor(t, b)
			i := findByRole(founders, departing)
			founders[i].crash()
			crashedAt := time.Now()
			eventually(t, "the successor is a voter, and the group of three again", func() bool {
				members := successor.currentNode().Status().Membership
				return members.IsVoter(successor.self.ID) && members.VoterCount() == 3
			})
			t.Logf("replaced after %s", time.Since(crashedAt).Round(10*time.Millisecond))
			propose(t, successor, "after")
		})
	}
}
