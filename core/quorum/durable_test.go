package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// A leader's own entry counts for a majority only once its own disk has it: a leader
// that loses power between an acknowledgement and its sync would take the entry with
// it.
func TestLeaderCountsItsEntryOnlyOnceItIsSynced(t *testing.T) {
	is := is.New(t)
	leader := started(t, 1, 1)
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
	first := leader.Ready() // the entry that opens the term
	leader.Advance(first)
	deliver(Message{Type: MsgAppendResp, From: 2, Term: leader.term, Index: leader.log.lastIndex()})
	leader.Advance(leader.Ready())
	is.Equal(leader.log.committed, leader.log.lastIndex())

	is.NoErr(leader.Propose(1, []byte("change")))
	rd := leader.Ready() // on its way to the disk
	last := leader.log.lastIndex()
	deliver(Message{Type: MsgAppendResp, From: 2, Term: leader.term, Index: last})
	is.Equal(leader.log.committed, last-1) // one disk of three
	leader.Advance(rd)
	leader.Advance(leader.Ready())
	is.Equal(leader.log.committed, last) // two disks
}
