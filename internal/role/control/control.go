// Package control runs the control role: it takes announcements of agents,
// publishes numbered views and hands configuration and views to the daemons.
// The leader of the control group does so; other members pass the daemons'
// streams on to it.
package control

import (
	"context"
	"crypto/tls"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/group"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/proto"
)

var (
	// Errors is the namespace of this package's error types.
	Errors = errorx.NewNamespace("control")

	// NotLeading says that another process leads the control group.
	NotLeading = Errors.NewType("not_leading", errorx.Temporary())
)

// Group is the control group that a process belongs to.
type Group interface {
	// Leadership returns who leads, and a channel that is closed when that
	// changes.
	Leadership() (group.Leadership, <-chan struct{})
	// Barrier returns once a majority has confirmed the leader, and the local
	// state holds every acknowledged command.
	Barrier(ctx context.Context) error
	// Handlers serve the other replicas.
	Handlers() map[string]peer.Handler
}

// Options configure a Control.
type Options struct {
	// Listen is the UDP address for peer connections.
	Listen netip.AddrPort
	// TLS checks the certificates of the daemons.
	TLS *tls.Config
	// Epoch is the epoch of the views that a process without a group publishes.
	Epoch uint64
	// Group is the control group; nil for a process that leads alone.
	Group Group
	// Pool connects to the leader of the group.
	Pool *peer.Pool
	// Collect is how long a new leader waits for announcements; 0 for one lease.
	Collect time.Duration
	// Silence is how long a connection may be silent; 0 for the default.
	Silence time.Duration
	// Fleet is the replicated state, nil where SetServices is used instead.
	Fleet Fleet
	// Now is the clock.
	Now func() time.Time
	Log *zap.Logger
}

// Control is one running control process.
type Control struct {
	options Options
	server  *peer.Server
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	term   *term // nil while another process leads
	leader netip.AddrPort
	// waiting is set while the process belongs to no control group yet.
	waiting bool
	// passing ends with the leader that streams are passed on to.
	passing     context.Context
	stopPassing context.CancelFunc
	// changed is closed when term or leader change.
	changed chan struct{}
	phases  *phases.Tracker
}

// Start opens the socket and serves daemons until Close.
func Start(o Options) (*Control, error) {
	c := &Control{options: o, changed: make(chan struct{}), phases: phases.New(o.Now, o.Log, phaseLeaderKnown)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.passing, c.stopPassing = context.WithCancel(c.ctx)
	handlers := map[string]peer.Handler{
		proto.Announce:  c.announce,
		proto.Subscribe: c.subscribe,
	}
	if o.Group == nil {
		t, err := startTerm(c.ctx, o, o.Epoch)
		if err != nil {
			c.cancel()
			return nil, err
		}
		c.term = t
	} else {
		maps.Copy(handlers, o.Group.Handlers())
	}
	server, err := peer.Listen(peer.ServerOptions{Addr: o.Listen, TLS: o.TLS, Log: o.Log, Handlers: handlers, Silence: o.Silence})
	if err != nil {
		c.cancel()
		return nil, err
	}
	c.server = server
	if o.Group != nil {
		go c.followGroup()
	}
	return c, nil
}

// Addr returns the bound address.
func (c *Control) Addr() netip.AddrPort { return c.server.Addr() }

// Close stops serving.
func (c *Control) Close() error {
	c.cancel()
	return c.server.Close()
}

// Stop stops serving. Daemons go on with what they have.
func (c *Control) Stop(context.Context) error { return c.Close() }

func (c *Control) announce(ctx context.Context, from keys.Info, s *peer.Stream) {
	if !from.Allows(keys.Agent, keys.Control) {
		s.Abort()
		return
	}
	c.serve(ctx, from, s, proto.Announce, func(t *term) { t.announce(ctx, from, s) })
}

func (c *Control) subscribe(ctx context.Context, from keys.Info, s *peer.Stream) {
	c.serve(ctx, from, s, proto.Subscribe, func(t *term) { t.subscribe(ctx, from, s) })
}

// current returns the term while this process leads, or nil.
func (c *Control) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}
