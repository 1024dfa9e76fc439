package control

import (
	"context"
	"io"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// followGroup starts a term when this process comes to lead, and ends it when
// another one does.
func (c *Control) followGroup() {
	for {
		l, changed := c.options.Group.Leadership()
		c.setLeadership(l)
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Control) setLeadership(l group.Leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil && l.IsLeader && c.term.epoch == l.Term {
		return
	}
	defer c.notify()
	c.waiting = l.HasNoCluster
	if c.term != nil {
		c.options.Log.Info("Leads no longer.", zap.Uint64("term", c.term.epoch))
		c.term.cancel()
		c.term = nil
	}
	if !l.IsLeader {
		c.setLeader(l.LeaderAddr)
		c.endLeaderPhase()
		return
	}
	c.setLeader(netip.AddrPort{})
	t, err := startTerm(c.ctx, c.options, l.Term)
	if err != nil {
		c.options.Log.Error("Cannot publish.", zap.Error(err))
		return
	}
	c.options.Log.Info("Leads.", zap.Uint64("term", l.Term))
	c.term = t
	c.endLeaderPhase()
}

// notify wakes the streams that wait for a leader. The caller holds the lock.
func (c *Control) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// leaderWait is how long a stream waits for a leader: about as long as an
// election takes where a majority runs.
const leaderWait = time.Second

// server is who serves a stream: the term of this process, or another leader.
type server struct {
	term    *term
	leader  netip.AddrPort
	passing context.Context
	// waiting is set where the process belongs to no control group yet.
	waiting bool
}

// known reports whether anybody serves.
func (s *server) known() bool { return s.term != nil || s.leader.IsValid() }

// awaitServer returns who serves, as soon as a leader is known. A process that
// belongs to no control group answers at once: daemons do better elsewhere.
func (c *Control) awaitServer(ctx context.Context) (server, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		c.mu.Lock()
		s, changed := server{term: c.term, leader: c.leader, passing: c.passing, waiting: c.waiting}, c.changed
		c.mu.Unlock()
		if s.known() || s.waiting {
			return s, s.known()
		}
		select {
		case <-ctx.Done():
			return s, false
		case <-changed:
		}
	}
}

// setLeader ends the streams that are passed on to another leader. The caller
// holds the lock.
func (c *Control) setLeader(leader netip.AddrPort) {
	if leader == c.leader {
		return
	}
	c.leader = leader
	c.stopPassing()
	c.passing, c.stopPassing = context.WithCancel(c.ctx)
}

// serve lets the term serve a stream until either ends, or passes the stream
// on to the leader.
func (c *Control) serve(ctx context.Context, from keys.Info, s *peer.Stream, kind string, handle func(*term)) {
	by, ok := c.awaitServer(ctx)
	switch {
	case !ok:
		s.Abort()
	case by.term != nil:
		stop := context.AfterFunc(by.term.ctx, s.Abort)
		defer stop()
		handle(by.term)
	case !from.Allows(keys.Control):
		c.passOn(by.passing, s, by.leader, kind)
	default:
		// What another control process passed on goes no further: two
		// processes could each take the other for the leader.
		s.Abort()
	}
}

// passOn joins a daemon's stream to one to the leader, byte for byte.
func (c *Control) passOn(ctx context.Context, s *peer.Stream, leader netip.AddrPort, kind string) {
	defer s.Abort()
	up, err := c.options.Pool.Open(ctx, leader, kind)
	if err != nil {
		c.options.Log.Debug("Cannot reach the leader.", zap.Stringer("leader", leader), zap.Error(err))
		return
	}
	defer up.Abort()
	stop := context.AfterFunc(ctx, func() {
		s.Abort()
		up.Abort()
	})
	defer stop()
	go func() {
		_, _ = io.Copy(up, s) // either direction's end ends both
		s.Abort()
		up.Abort()
	}()
	_, _ = io.Copy(s, up)
}
