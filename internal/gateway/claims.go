package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/core/attempt"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// claims carries the messages of attempt.Claims between the agents of a
// service.
type claims struct {
	ctx   context.Context
	o     AgentOptions
	tasks *sync.WaitGroup

	mu      sync.Mutex
	core    *attempt.Claims
	addrs   map[string]netip.AddrPort // by backend server, also those that left
	replies map[uint64]chan attempt.ClaimReply
	last    uint64
	learned bool
}

func newClaims(ctx context.Context, o AgentOptions, tasks *sync.WaitGroup) *claims {
	return &claims{
		ctx: ctx, o: o, tasks: tasks,
		addrs:   make(map[string]netip.AddrPort),
		replies: make(map[uint64]chan attempt.ClaimReply),
		core: attempt.NewClaims(o.Now(), attempt.ClaimsConfig{
			Self:          o.Self,
			KeyLifetime:   recordLifetime,
			MaxClockSkew:  o.ClockSkew,
			ReplyTimeout:  holderAnswer,
			ViewLag:       viewLag,
			ConfirmWithin: o.ConfirmWithin,
			MaxEntries:    maxClaims,
		}),
	}
}

func (c *claims) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Len()
}

func (c *claims) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perform(c.core.Tick(c.o.Now()))
}

func (c *claims) confirm(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ConfirmView(asOf)
}

func (c *claims) setView(v *view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range v.Members {
		c.addrs[v.Members[i].ID] = v.Members[i].Requests
	}
	c.perform(c.core.SetView(c.o.Now(), v))
	if !c.learned {
		c.learned = true
		c.tasks.Go(func() { c.learn(v) })
	}
}

// learn asks the other members for the views of the time before this agent
// started.
func (c *claims) learn(v *view.View) {
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == c.o.Self.Server {
			continue
		}
		h, err := call[attempt.History](c.ctx, c.o.Pool, m.Requests, KindHistory, historyRequest{}, holderAnswer)
		if err != nil {
			continue
		}
		for _, old := range h.Views {
			old.View.Prepare()
		}
		c.mu.Lock()
		c.core.AdoptHistory(c.o.Now(), h)
		c.mu.Unlock()
	}
}

// perform carries out actions. The caller holds the lock.
func (c *claims) perform(acts []attempt.ClaimAction) {
	for _, act := range acts {
		switch act := act.(type) {
		case attempt.ReplyClaim:
			if ch := c.replies[act.RequestID]; ch != nil {
				delete(c.replies, act.RequestID)
				ch <- act.Reply
			}
		case attempt.SendStore:
			addr := c.addrs[act.Request.To.Server]
			c.tasks.Go(func() {
				// A zero reply stands for a lost one.
				reply, _ := call[attempt.StoreReply](c.ctx, c.o.Pool, addr, KindHold, act.Request, holderAnswer)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.perform(c.core.HandleStoreReply(c.o.Now(), act.Seq, reply))
			})
		case attempt.SendLookup:
			addr := c.addrs[act.Request.To.Server]
			c.tasks.Go(func() {
				reply, _ := call[attempt.LookupReply](c.ctx, c.o.Pool, addr, KindLookup, act.Request, holderAnswer)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.perform(c.core.HandleLookupReply(c.o.Now(), act.Seq, reply))
			})
		}
	}
}

// call sends one message and returns the answer to it.
func call[T any](ctx context.Context, pool *peer.Pool, addr netip.AddrPort, kind string, in any, limit time.Duration) (out T, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := pool.Open(ctx, addr, kind)
	if err != nil {
		return out, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(in); err != nil {
		return out, err
	}
	err = s.Recv(&out)
	return out, err
}

func (c *claims) serveClaim(ctx context.Context, s *peer.Stream) {
	var in attempt.ClaimRequest
	if err := s.Recv(&in); err != nil {
		s.Abort()
		return
	}
	ch := make(chan attempt.ClaimReply, 1)
	c.mu.Lock()
	c.last++
	conversation := c.last
	c.replies[conversation] = ch
	c.perform(c.core.Claim(c.o.Now(), conversation, in))
	c.mu.Unlock()
	select {
	case reply := <-ch:
		_ = s.Send(reply)
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.replies, conversation)
		c.mu.Unlock()
	}
}

// serveOne answers the one message of a stream by a decision of the core.
func serveOne[In, Out any](c *claims, s *peer.Stream, decide func(time.Time, In) Out) {
	var in In
	if err := s.Recv(&in); err != nil {
		s.Abort()
		return
	}
	c.mu.Lock()
	reply := decide(c.o.Now(), in)
	c.mu.Unlock()
	_ = s.Send(reply)
}

func (c *claims) serveHold(_ context.Context, s *peer.Stream) {
	serveOne(c, s, c.core.Store)
}

func (c *claims) serveLookup(_ context.Context, s *peer.Stream) {
	serveOne(c, s, c.core.Lookup)
}

func (c *claims) serveHistory(_ context.Context, s *peer.Stream) {
	serveOne(c, s, func(now time.Time, _ historyRequest) attempt.History { return c.core.History(now) })
}
