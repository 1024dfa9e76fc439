package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// maxPublications bounds the revisions whose position is remembered.
const maxPublications = 1_000

// publication tells at which position a configuration was published.
type publication struct {
	revision uint64
	position dissemination.Position
}

// settleTime is how long the views that a configuration changes may take to be
// published: the registry holds views of one service apart.
const settleTime = 300 * time.Millisecond

// pending is a configuration whose views are being published.
type pending struct {
	revision uint64
	due      time.Time
}

// notePending remembers the position of a configuration once its views are
// published. The caller holds the lock.
func (c *term) notePending(now time.Time) {
	if c.pending == nil || now.Before(c.pending.due) {
		return
	}
	revision := c.pending.revision
	c.pending = nil
	if len(c.published) == maxPublications {
		c.published = slices.Delete(c.published, 0, 1)
	}
	c.published = append(c.published, publication{revision: revision, position: c.publisher.Position()})
}

// positionOf returns a position at which revision is in force, which may be a
// later one. It is false where revision is not published here yet.
func (c *term) positionOf(revision uint64) (dissemination.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, _ := slices.BinarySearchFunc(c.published, revision, func(p publication, revision uint64) int {
		return cmp.Compare(p.revision, revision)
	})
	if i == len(c.published) {
		return dissemination.Position{}, false
	}
	return c.published[i].position, true
}

// subscribe serves a daemon once the configuration is known to be current.
func (c *term) subscribe(ctx context.Context, from keys.Info, s *peer.Stream) {
	select {
	case <-ctx.Done():
	case <-c.current:
		c.publisher.Handle(ctx, from, s)
	}
}

// Progress implements admin.Spread. Only the leader knows.
func (c *Control) Progress(revision uint64, limit int) admin.Progress {
	if t := c.current(); t != nil {
		return t.progress(revision, limit)
	}
	return admin.Progress{Revision: revision}
}

// Members implements admin.Spread. Only the leader knows.
func (c *Control) Members() []admin.Member {
	if t := c.current(); t != nil {
		return t.members()
	}
	return nil
}

func (c *term) progress(revision uint64, limit int) admin.Progress {
	position, published := c.positionOf(revision)
	status := c.publisher.Progress(position)
	progress := admin.Progress{Revision: revision, Daemons: status.Total}
	if !published {
		return progress
	}
	progress.InForce = status.Applied
	for _, l := range status.Laggards[:min(len(status.Laggards), limit)] {
		progress.Missing = append(progress.Missing, admin.Daemon{Name: l.ID, InForce: l.Applied.String(), Departed: l.Disconnected})
	}
	return progress
}

func (c *term) members() []admin.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []admin.Member
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		for _, b := range c.registry.MemberStatuses(c.elapsed(), c.services[name].ID) {
			members = append(members, admin.Member{
				Service: name, ID: b.ID, Zone: b.Zone, State: b.State, Weight: b.Weight,
				Flows: b.Flows, Load: b.Load, Reasons: b.Reasons,
			})
		}
	}
	return members
}
