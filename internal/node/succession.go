package node

import (
	"context"
	"net"
	"sync"

	"go.uber.org/fx"

	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// Succession hands the process's roles over to a successor on the same VM. It
// implements handover.Predecessor for all of them together.
type Succession struct {
	mu    sync.Mutex
	roles []handover.Predecessor
	// release gives up what only one process can hold.
	release []func()
	paused  int // the first of roles that are paused
	left    chan struct{}
}

// NewSuccession returns a Succession without roles.
func NewSuccession() *Succession { return &Succession{left: make(chan struct{})} }

// Left is closed once a successor has taken over.
func (s *Succession) Left() <-chan struct{} { return s.left }

// add makes a running role part of a later handover, if it can be.
func (s *Succession) add(r role) {
	if p, ok := r.(handover.Predecessor); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roles = append(s.roles, p)
	}
}

// onLeave adds a function that Release calls first.
func (s *Succession) onLeave(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release = append(s.release, f)
}

// Pause implements handover.Predecessor.
func (s *Succession) Pause() (handover.Bundle, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all handover.Bundle
	for s.paused = 0; s.paused < len(s.roles); s.paused++ {
		bundle, err := s.roles[s.paused].Pause()
		if err != nil {
			// The role that failed may have paused in part.
			s.paused++
			return nil, err
		}
		all = append(all, bundle...)
	}
	return all, nil
}

// Resume implements handover.Predecessor.
func (s *Succession) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.roles[:s.paused] {
		r.Resume()
	}
	s.paused = 0
}

// Release implements handover.Predecessor.
func (s *Succession) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.release {
		f()
	}
	for _, r := range s.roles {
		r.Release()
	}
	close(s.left)
}

// registerHandover waits for a successor once every role has started. A process that has
// taken over opens the socket before its roles: they serve from their start, and a
// successor that found nobody at the socket would start with sockets of its own, which it
// cannot have. It waits instead. A process that found no predecessor opens the socket
// after its roles hold their sockets, as another process may have them, and its socket.
func registerHandover(lc fx.Lifecycle, o Options, s *Succession) (serve func()) {
	if o.Settings.Handover == "" || !o.Settings.Has(settings.RoleBalancer) {
		return func() {}
	}
	var listener *net.UnixListener
	open := func(context.Context) (err error) {
		listener, err = handover.Open(o.Settings.Handover)
		return err
	}
	if len(o.Inherited) > 0 {
		lc.Append(fx.Hook{OnStart: open, OnStop: func(context.Context) error {
			_ = listener.Close() // Close of the server has closed it, unless a role failed to start
			return nil
		}})
	}
	var server *handover.Server
	return func() {
		lc.Append(fx.Hook{
			OnStart: func(ctx context.Context) error {
				if listener == nil {
					if err := open(ctx); err != nil {
						return err
					}
				}
				server = handover.Serve(listener, s, o.Log.Named("handover"))
				return nil
			},
			OnStop: func(context.Context) error { return server.Close() },
		})
	}
}
