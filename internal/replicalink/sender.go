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

// sender sends messages and snapshots to the replica at one address.
type sender struct {
	link      *Link
	addr      netip.AddrPort
	messages  chan []quorum.Message
	snapshots chan []quorum.Message

	mu sync.Mutex
	// helloReceived is closed and replaced when the replica at addr opens a stream to
	// this one.
	helloReceived chan struct{}
}

func newSender(l *Link, addr netip.AddrPort) *sender {
	return &sender{
		link: l, addr: addr,
		messages:      make(chan []quorum.Message, queueCapacity),
		snapshots:     make(chan []quorum.Message, 1),
		helloReceived: make(chan struct{}),
	}
}

// signalHello signals that the replica opened a stream to this one. The replica is
// reachable now, so pending attempts to open a stream are canceled and repeated.
func (s *sender) signalHello() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.helloReceived)
	s.helloReceived = make(chan struct{})
}

// nextHello returns a channel that is closed at the next Hello from the replica.
func (s *sender) nextHello() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helloReceived
}

// outgoingStream is the stream of one queue.
type outgoingStream struct {
	stream               *peer.Stream
	openedAt             time.Time
	openFailedAt         time.Time       // time of the latest failed attempt to open it
	nextHello            <-chan struct{} // closed if a Hello was received since the latest attempt
	needsReplacementConn bool            // the next stream replaces the connection
}

// run sends the batches of a queue until the link closes.
func (s *sender) run(queue <-chan []quorum.Message) {
	var out outgoingStream
	defer func() { s.closeStream(&out) }()
	for {
		select {
		case <-s.link.ctx.Done():
			return
		case batch := <-queue:
			s.write(&out, coalesce(batch, queue))
		}
	}
}

// coalesce appends all queued messages to batch.
func coalesce(batch []quorum.Message, queue <-chan []quorum.Message) []quorum.Message {
	for {
		select {
		case next := <-queue:
			batch = append(batch[:len(batch):len(batch)], next...)
		default:
			return batch
		}
	}
}

// write sends a batch. It drops the batch if the stream cannot be opened or fails;
// the protocol retransmits.
func (s *sender) write(out *outgoingStream, batch []quorum.Message) {
	now := s.link.options.Now()
	if out.stream != nil && s.isDead(out, now) {
		s.closeStream(out)
		out.needsReplacementConn = true
	}
	if out.stream == nil && !s.ensureOpen(out, now) {
		return
	}
	if err := sendBatch(out.stream, batch); err != nil {
		s.link.options.Log.Debug("Stream to a replica failed; dropped the batch.", zap.Stringer("replica", s.addr), zap.Error(err))
		s.closeStream(out)
	}
}

// isDead reports whether the process at addr has restarted since the stream was opened,
// or nothing was received from it for unresponsiveTimeout.
func (s *sender) isDead(out *outgoingStream, now time.Time) bool {
	return out.openedAt.Before(s.link.runStartedAt(s.addr)) || now.Sub(later(out.openedAt, s.link.lastReceivedAt(s.addr))) > unresponsiveTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ensureOpen opens the stream and reports whether it succeeded. It makes no attempt
// within retryDelay of a failed one, unless a Hello was received since. An attempt
// that a Hello canceled is repeated once.
func (s *sender) ensureOpen(out *outgoingStream, now time.Time) bool {
	if now.Sub(out.openFailedAt) < retryDelay && !isClosed(out.nextHello) {
		return false
	}
	out.nextHello = s.nextHello()
	stream, err := s.openStream(out.nextHello, out.needsReplacementConn)
	if err != nil && isClosed(out.nextHello) {
		out.nextHello = s.nextHello()
		stream, err = s.openStream(out.nextHello, out.needsReplacementConn)
	}
	if err != nil {
		s.link.options.Log.Debug("Could not open a stream to a replica; dropped the batch.", zap.Stringer("replica", s.addr), zap.Error(err))
		out.openFailedAt = s.link.options.Now()
		return false
	}
	out.stream, out.openedAt, out.needsReplacementConn = stream, s.link.options.Now(), false
	return true
}

// openStream opens a stream, on a new connection if replaceConn is set. The attempt is
// canceled after openTimeout or when hello is closed.
func (s *sender) openStream(hello <-chan struct{}, replaceConn bool) (*peer.Stream, error) {
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
	if replaceConn {
		open = s.link.options.Pool.OpenFresh
	}
	stream, err := open(ctx, s.addr, KindMessages)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(s.link.newHello()); err != nil {
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

func (s *sender) closeStream(out *outgoingStream) {
	if out.stream != nil {
		out.stream.Abort()
		out.stream = nil
	}
}

// sendBatch writes one batch in chunks.
func sendBatch(stream *peer.Stream, batch []quorum.Message) error {
	encoded, err := cbor.Marshal(batch)
	if err != nil {
		return err
	}
	for first := true; first || len(encoded) > 0; first = false {
		n := min(len(encoded), maxChunkBytes)
		if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := stream.Send(chunk{Data: encoded[:n], More: n < len(encoded)}); err != nil {
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}
