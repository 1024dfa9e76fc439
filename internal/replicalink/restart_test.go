package replicalink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// A replica that has restarted calls for votes. The answers must not go into the stream
// to the process that it was before, which nobody reads, also where that process has never
// opened a stream itself. The clock is stopped: the stream never counts as unresponsive.
func TestRestartedReplicaIsAnsweredOnANewStream(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a, b := newTestReplica(t, set, 1, keys.Control), newTestReplica(t, set, 2, keys.Control)
	now := time.Now()
	a.link.options.Now = func() time.Time { return now }
	s := a.link.senderFor(b.addr)
	var out outgoingStream
	is.True(s.ensureOpen(&out, now))
	before := out.stream
	a.link.recordRun(b.addr, &Hello{Run: 1, Age: time.Minute}) // the process that the stream goes to
	is.True(!s.isDead(&out, now))

	now = now.Add(100 * time.Millisecond)
	a.link.recordRun(b.addr, &Hello{Run: 2, Age: 10 * time.Millisecond})
	is.True(s.isDead(&out, now))
	s.write(&out, []quorum.Message{{Type: quorum.MsgPreVoteResp, From: 1, To: 2}})
	is.True(out.stream != nil && out.stream != before)
	is.Equal(b.receive(t)[0].Type, quorum.MsgPreVoteResp)
	is.True(!s.isDead(&out, now)) // replaced once

	now = now.Add(100 * time.Millisecond)
	a.link.recordRun(b.addr, &Hello{Run: 2, Age: 20 * time.Millisecond}) // was long on its way
	a.link.recordRun(b.addr, &Hello{})                                   // of an earlier release, which does not tell
	is.True(!s.isDead(&out, now))
	s.closeStream(&out)
}
