package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// The leader's own copy of an entry counts towards the majority only after the entry
// is synced to its disk. Otherwise a power failure before the sync would lose a
// committed entry.
func TestLeaderCountsOwnEntryOnlyAfterSync(t *testing.T) {
	is := is.New(t)
	leader := restartedReplica(t, 1, 1)
	leader.Campaign()
	deliver := func(m Message) {
		m.To, m.Cluster = 1, 1
		is.NoErr(leader.Step(m))
	}
	for leader.role != Leader {
		rd := leader.Ready()
		leader.Advance(rd)
		is.True(!rd.IsEmpty())
		deliver(Message{Type: MsgPreVoteResp, From: 2, Term: leader.term + 1})
		deliver(Message{Type: MsgVoteResp, From: 2, Term: leader.term})
	}
	first := leader.Ready() // the no-op entry of the term
	leader.Advance(first)
	deliver(Message{Type: MsgAppendResp, From: 2, Term: leader.term, Index: leader.log.lastIndex()})
	leader.Advance(leader.Ready())
	is.Equal(leader.log.committed, leader.log.lastIndex())

	is.NoErr(leader.Propose(1, []byte("change")))
	rd := leader.Ready() // not synced yet
	last := leader.log.lastIndex()
	deliver(Message{Type: MsgAppendResp, From: 2, Term: leader.term, Index: last})
	is.Equal(leader.log.committed, last-1) // on one disk of three
	leader.Advance(rd)
	leader.Advance(leader.Ready())
	is.Equal(leader.log.committed, last) // on two disks
}
