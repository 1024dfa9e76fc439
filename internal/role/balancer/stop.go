package balancer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarmount.org/fulmarmount/internal/proto"
)

const (
	// acceptPendingTime is how long a stopping balancer accepts the connections that
	// are established already and wait in the listeners' queues. To close a listener
	// resets them.
	acceptPendingTime = 50 * time.Millisecond
	// defaultIdleDrainTime is Options.IdleDrainTime if that is 0.
	defaultIdleDrainTime = time.Second
)

// Stop serves the connections that are established, accepts no new ones, waits until the
// open ones have ended or ctx is done, and closes every socket. Callers in request mode
// are told to close their connections with the next answer. A request that is on its way
// on an idle connection is answered for IdleDrainTime.
func (b *Balancer) Stop(ctx context.Context) error {
	b.acceptPending()
	b.closeListeners(proto.ModeStream, proto.ModeRequest)
	b.requestCallers.waitUntilEmpty(ctx, b.idleDrainTime())
	_ = b.server.Shutdown(ctx) // Close closes the remaining connections
	waitUntilDone(ctx, &b.openStreams)
	return b.Close()
}

func (b *Balancer) idleDrainTime() time.Duration {
	if b.options.IdleDrainTime == 0 {
		return defaultIdleDrainTime
	}
	return b.options.IdleDrainTime
}

// acceptPending lets the acceptors accept what waits in the queues of their listeners,
// and waits for them to end.
func (b *Balancer) acceptPending() {
	b.mu.Lock()
	b.stopping.Store(true)
	for _, l := range b.listeners {
		if tcp, ok := l.(*net.TCPListener); ok {
			_ = tcp.SetDeadline(time.Now().Add(acceptPendingTime))
		}
	}
	b.mu.Unlock()
	b.acceptors.Wait()
}

// connSet is the set of an HTTP server's open connections.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	empty chan struct{} // closed once conns is empty; nil if nobody waits
}

// update implements http.Server.ConnState.
func (c *connSet) update(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.conns == nil {
			c.conns = make(map[net.Conn]struct{})
		}
		c.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
	if len(c.conns) == 0 && c.empty != nil {
		close(c.empty)
		c.empty = nil
	}
}

// waitUntilEmpty waits until no connection is open, at most for limit and until ctx is
// done.
func (c *connSet) waitUntilEmpty(ctx context.Context, limit time.Duration) {
	c.mu.Lock()
	if len(c.conns) == 0 {
		c.mu.Unlock()
		return
	}
	empty := make(chan struct{})
	c.empty = empty
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-empty:
	}
}
