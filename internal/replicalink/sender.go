package replicalink

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// sender sends to one address.
type sender struct {
	link      *Link
	addr      netip.AddrPort
	messages  chan []quorum.Message
	snapshots chan []quorum.Message

	mu sync.Mutex
	// hello is closed when the replica at addr next opens a stream to this one.
	hello chan struct{}
}

func newSender(l *Link, addr netip.AddrPort) *sender {
	return &sender{
		link: l, addr: addr,
		messages:  make(chan []quorum.Message, queueBatches),
		snapshots: make(chan []quorum.Message, 1),
		hello:     make(chan struct{}),
	}
}

// greeted notes that the replica has opened a stream to this one: it can be
// reached now, and attempts that began before need not be waited for.
func (s *sender) greeted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hello)
	s.hello = make(chan struct{})
}

func (s *sender) nextHello() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hello
}

// outgoing is the stream of one queue.
type outgoing struct {
	stream *peer.Stream
	opened time.Time
	failed time.Time       // of the last attempt to open it, if it failed
	hello  <-chan struct{} // closed if the replica was greeted since that attempt
	fresh  bool            // the next stream is to use a new connection
}

// run sends what queue holds until the link closes.
func (s *sender) run(queue <-chan []quorum.Message) {
	var out outgoing
	defer func() { s.drop(&out) }()
	for {
		select {
		case <-s.link.ctx.Done():
			return
		case batch := <-queue:
			s.write(&out, gather(batch, queue))
		}
	}
}

// gather adds what else is queued.
func gather(batch []quorum.Message, queue <-chan []quorum.Message) []quorum.Message {
	for {
		select {
		case more := <-queue:
			batch = append(batch[:len(batch):len(batch)], more...)
		default:
			return batch
		}
	}
}

// write sends a batch or drops it.
func (s *sender) write(out *outgoing, batch []quorum.Message) {
	now := s.link.options.Now()
	if out.stream != nil && now.Sub(latest(out.opened, s.link.lastHeard(s.addr))) > silence {
		s.drop(out)
		out.fresh = true
	}
	if out.stream == nil && !s.open(out, now) {
		return
	}
	if err := send(out.stream, batch); err != nil {
		s.link.options.Log.Debug("Lost a stream.", zap.Stringer("replica", s.addr), zap.Error(err))
		s.drop(out)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// open opens the stream unless an attempt failed just now. An attempt that the
// replica's own stream overtakes is made anew.
func (s *sender) open(out *outgoing, now time.Time) bool {
	if now.Sub(out.failed) < retryDelay && !isClosed(out.hello) {
		return false
	}
	out.hello = s.nextHello()
	stream, err := s.attempt(out.hello, out.fresh)
	if err != nil && isClosed(out.hello) {
		out.hello = s.nextHello()
		stream, err = s.attempt(out.hello, out.fresh)
	}
	if err != nil {
		s.link.options.Log.Debug("Cannot reach a replica.", zap.Stringer("replica", s.addr), zap.Error(err))
		out.failed = s.link.options.Now()
		return false
	}
	out.stream, out.opened, out.fresh = stream, s.link.options.Now(), false
	return true
}

// attempt opens a stream until openTimeout has passed or hello is closed; on a new
// connection where fresh is set.
func (s *sender) attempt(hello <-chan struct{}, fresh bool) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(s.link.ctx, openTimeout)
	defer cancel()
	go func() {
		select {
		case <-hello:
			cancel()
		case <-ctx.Done():
		}
	}()
	open := s.link.options.Pool.Open
	if fresh {
		open = s.link.options.Pool.OpenFresh
	}
	stream, err := open(ctx, s.addr, KindMessages)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(Hello{From: s.link.options.Self}); err != nil {
		stream.Abort()
		return nil, err
	}
	return stream, nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *sender) drop(out *outgoing) {
	if out.stream != nil {
		out.stream.Abort()
		out.stream = nil
	}
}

// send writes one batch in parts.
func send(stream *peer.Stream, batch []quorum.Message) error {
	encoded, err := cbor.Marshal(batch)
	if err != nil {
		return err
	}
	for first := true; first || len(encoded) > 0; first = false {
		n := min(len(encoded), maxPartBytes)
		if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := stream.Send(part{Data: encoded[:n], More: n < len(encoded)}); err != nil {
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}
