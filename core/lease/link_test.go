package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pathState is the set of connections on which a simulated path delivers messages.
type pathState struct{ current, replacement bool }

// TestLinkDetectsUnresponsivePath runs a Link over simulated paths that drop
// messages. It checks the final state and the number of replacement connections
// opened and used.
func TestLinkDetectsUnresponsivePath(t *testing.T) {
	cases := []struct {
		name             string
		pathAt           func(now time.Duration) pathState
		state            LinkState
		opened, switched int
	}{
		{"no message is lost", func(time.Duration) pathState { return pathState{true, true} }, LinkUp, 0, 0},
		{"the current connection fails permanently", func(now time.Duration) pathState { return pathState{now < 5*second, true} }, LinkUp, 1, 1},
		{"a pause shorter than the receive timeout", func(now time.Duration) pathState {
			return pathState{now < 5*second || now > 5900*time.Millisecond, true}
		}, LinkUp, 0, 0},
		{"the peer fails", func(now time.Duration) pathState { return pathState{now < 5*second, now < 5*second} }, LinkSuspect, 9, 0},
		{"the peer recovers", func(now time.Duration) pathState { return pathState{now < 5*second, now > 20*second} }, LinkUp, 8, 1},
		{"the current connection recovers before a replacement responds", func(now time.Duration) pathState { return pathState{now < 5*second || now > 7*second, false} }, LinkUp, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLink(0, LinkOptions{})
			var opened, switched int
			replacementOpen, switchedOver := false, false
			for now := time.Duration(0); now < 24*second; now += 100 * time.Millisecond {
				action := l.Tick(now)
				p := c.pathAt(now)
				if action == LinkSendHeartbeat && (p.current || switchedOver && p.replacement) {
					action = l.RecordReceive(now)
				}
				if action == LinkOpenReplacement {
					opened++
					replacementOpen = true
				}
				if replacementOpen && p.replacement {
					action = l.RecordReplacementReceive(now)
				}
				if action == LinkUseReplacement {
					switched++
					switchedOver = true
				}
				replacementOpen = replacementOpen && action != LinkUseReplacement && action != LinkCloseReplacement
			}
			is.Equal(l.State(), c.state)
			is.Equal(opened, c.opened)
			is.Equal(switched, c.switched)
		})
	}
}
