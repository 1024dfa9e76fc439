package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// path is a fake of what lies between two processes.
type path struct{ old, fresh bool }

// TestLink runs a link over paths that swallow messages, and names the state and
// the number of fresh connections and switches after it.
func TestLink(t *testing.T) {
	cases := []struct {
		name             string
		at               func(now time.Duration) path
		state            LinkState
		opened, switched int
	}{
		{"all well", func(time.Duration) path { return path{true, true} }, LinkUp, 0, 0},
		{"the old connection goes silent for good", func(now time.Duration) path { return path{now < 5*second, true} }, LinkUp, 1, 1},
		{"a short pause", func(now time.Duration) path { return path{now < 5*second || now > 5900*time.Millisecond, true} }, LinkUp, 0, 0},
		{"the peer dies", func(now time.Duration) path { return path{now < 5*second, now < 5*second} }, LinkSuspect, 9, 0},
		{"the peer comes back", func(now time.Duration) path { return path{now < 5*second, now > 20*second} }, LinkUp, 8, 1},
		{"the old connection comes back first", func(now time.Duration) path { return path{now < 5*second || now > 7*second, false} }, LinkUp, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLink(0, LinkOptions{})
			var opened, switched int
			onFresh, replaced := false, false
			for now := time.Duration(0); now < 24*second; now += 100 * time.Millisecond {
				action := l.Tick(now)
				p := c.at(now)
				if action == LinkSendHeartbeat && (p.old || replaced && p.fresh) {
					action = l.RecordReceive(now)
				}
				if action == LinkOpenReplacement {
					opened++
					onFresh = true
				}
				if onFresh && p.fresh {
					action = l.RecordReplacementReceive(now)
				}
				if action == LinkUseReplacement {
					switched++
					replaced = true
				}
				onFresh = onFresh && action != LinkUseReplacement && action != LinkCloseReplacement
			}
			is.Equal(l.State(), c.state)
			is.Equal(opened, c.opened)
			is.Equal(switched, c.switched)
		})
	}
}
