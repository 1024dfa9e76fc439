package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fulmarmount.org/daemon/internal/admin"
	"fulmarmount.org/daemon/internal/keys"
	"fulmarmount.org/daemon/internal/peer"
	"fulmarmount.org/daemon/internal/proto"
)

// forgetAfter is how long a daemon that lost its connection is expected back,
// and counts as one that lacks what changed since.
const forgetAfter = 10 * time.Minute

// daemon is a process that subscribes.
type daemon struct {
	// revision is the configuration that the daemon has put in force.
	revision uint64
	seen     time.Time
	// streams is the number of its open subscriptions.
	streams int
}

// subscribe sends the whole state after every change, and takes what the
// daemon says about what is in force.
func (c *Control) subscribe(ctx context.Context, _ keys.Info, s *peer.Stream) {
	var hello proto.Hello
	if err := s.Recv(&hello); err != nil {
		return
	}
	name := hello.Role + " " + hello.Name
	c.connect(name, 1)
	defer c.connect(name, -1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		c.acknowledge(name, s)
	}()
	c.send(ctx, s)
}

// send sends updates until the stream or ctx ends.
func (c *Control) send(ctx context.Context, s *peer.Stream) {
	select {
	case <-ctx.Done():
		return
	case <-c.current:
	}
	for {
		update, changed := c.state()
		if err := s.Send(update); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Control) state() (proto.Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := proto.Update{Version: c.version, Revision: c.configuration.revision}
	for _, s := range c.services {
		update.Services = append(update.Services, s)
	}
	for _, v := range c.views {
		update.Views = append(update.Views, v)
	}
	return update, c.changed
}

// acknowledge takes acknowledgements until the stream ends.
func (c *Control) acknowledge(name string, s *peer.Stream) {
	for {
		var inForce proto.InForce
		if err := s.Recv(&inForce); err != nil {
			return
		}
		c.mu.Lock()
		d := c.daemons[name]
		d.revision, d.seen = inForce.Revision, c.options.Now()
		c.daemons[name] = d
		c.mu.Unlock()
	}
}

// connect counts a stream of a daemon that opens (1) or closes (-1). A daemon
// that connects anew has nothing in force until it says so.
func (c *Control) connect(name string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.daemons[name]
	d.streams += change
	d.seen = c.options.Now()
	if change > 0 {
		d.revision = 0
	}
	c.daemons[name] = d
}

// forget drops daemons that stayed away.
func (c *Control) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, d := range c.daemons {
		if d.streams == 0 && now.Sub(d.seen) > forgetAfter {
			delete(c.daemons, name)
		}
	}
}

// Progress implements admin.Spread.
func (c *Control) Progress(revision uint64, limit int) admin.Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	progress := admin.Progress{Revision: revision, Daemons: len(c.daemons)}
	for name, d := range c.daemons {
		if d.revision >= revision {
			progress.InForce++
			continue
		}
		progress.Missing = append(progress.Missing, admin.Daemon{Name: name, Revision: d.revision, LastSeen: d.seen})
	}
	slices.SortFunc(progress.Missing, func(a, b admin.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	progress.Missing = progress.Missing[:min(len(progress.Missing), limit)]
	return progress
}

// Members implements admin.Spread.
func (c *Control) Members() []admin.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]admin.Member, 0, len(c.members))
	for _, m := range c.members {
		b := c.backendServer(m.announcement)
		members = append(members, admin.Member{
			Service: m.announcement.Service, ID: b.ID, Zone: b.Zone, State: b.State.String(),
			Weight: b.Weight, Load: m.announcement.Load, Draining: c.configuration.draining[b.ID],
		})
	}
	slices.SortFunc(members, func(a, b admin.Member) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return members
}
