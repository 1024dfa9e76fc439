package replicalink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// A replica that has restarted calls for votes. The answers must not go into the stream
// to the process that it was before, which nobody reads. The clock is stopped: the stream
// never counts as unresponsive.
func TestRestartedReplicaIsAnsweredOnANewStream(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a, b := newTestReplica(t, set, 1, keys.Control), newTestReplica(t, set, 2, keys.Control)
	now := time.Now()
	a.link.options.Now = func() time.Time { return now }
	s := a.link.senderFor(b.addr)
	request := []quorum.Message{{Type: quorum.MsgPreVote, From: 2, To: 1}}
	b.link.Send(quorum.Member{ID: 1, Address: a.addr.String()}, request)
	is.Equal(a.receive(t), request)

	var out outgoingStream
	is.True(s.ensureOpen(&out, now))
	before := out.stream
	is.True(!s.isDead(&out, now))
	a.link.recordRun(b.addr, b.link.run) // another stream of the same process
	is.True(!s.isDead(&out, now))
	a.link.recordRun(b.addr, b.link.run+1)
	is.True(s.isDead(&out, now))
	s.write(&out, []quorum.Message{{Type: quorum.MsgPreVoteResp, From: 1, To: 2}})
	is.True(out.stream != nil && out.stream != before)
	is.Equal(b.receive(t)[0].Type, quorum.MsgPreVoteResp)
	is.True(!s.isDead(&out, now)) // replaced once
	a.link.recordRun(b.addr, 0)   // of an earlier release, which does not tell
	is.True(!s.isDead(&out, now))
	s.closeStream(&out)
}
