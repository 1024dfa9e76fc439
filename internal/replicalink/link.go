// Package replicalink carries messages between replicas over QUIC streams with
// mutual TLS. Each replica opens two streams to every other replica: one for
// messages and one for snapshots, which would delay heartbeats on a shared stream.
package replicalink

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// The kinds of streams between replicas.
const (
	// KindMessages carries a Hello and then batches of messages, in one direction.
	KindMessages = "replica-messages"
	// KindIdentify carries a Hello and, in response, an Identity.
	KindIdentify = "replica-identify"
	// KindJoin carries a Hello and, in response, a JoinResponse.
	KindJoin = "replica-join"
	// KindLeave carries a Hello and, in response, a LeaveResponse.
	KindLeave = "replica-leave"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("replicalink")

// ErrJoinRejected reports that a replica was not added to the cluster.
var ErrJoinRejected = Errors.NewType("not_admitted", errorx.Temporary())

// ErrBatchTooLong rejects a batch that exceeds maxBatchBytes.
var ErrBatchTooLong = Errors.NewType("too_long")

// Hello is the first message of a stream.
type Hello struct {
	// From is the sender, with the address at which it receives messages.
	From quorum.Member `cbor:"1,keyasint"`
	// Run identifies the run of the sender's process; 0 if it does not tell.
	Run uint64 `cbor:"2,keyasint,omitempty"`
	// Age is the time since the start of the run.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// run is one run of another replica's process.
type run struct {
	id uint64
	// startedAt is the start by this process's clock. It is late by the time that the Hello
	// was on its way.
	startedAt time.Time
}

// Identity describes a replica and the cluster that it belongs to.
type Identity struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// GroupName is the control group's name in the settings.
	GroupName string `cbor:"2,keyasint"`
	// Cluster is zero while the replica belongs to no cluster.
	Cluster quorum.ClusterID `cbor:"3,keyasint"`
	// InitialMembership is the membership in the initial snapshot of a cluster that has
	// no other state yet.
	InitialMembership quorum.Membership `cbor:"4,keyasint"`
}

// JoinResponse is the response to a replica that requests to be added.
type JoinResponse struct {
	Accepted bool `cbor:"1,keyasint"`
	// LeaderAddress is the address of the leader, which can add replicas; empty if
	// unknown.
	LeaderAddress string `cbor:"2,keyasint,omitempty"`
	// Reason states why the replica was not added.
	Reason string `cbor:"3,keyasint,omitempty"`
}

// chunk is a part of an encoded batch, which may exceed the size limit of a peer
// message.
type chunk struct {
	Data []byte `cbor:"1,keyasint"`
	More bool   `cbor:"2,keyasint,omitempty"`
}

const (
	maxChunkBytes = 1 << 20
	maxBatchBytes = 256 << 20
	queueCapacity = 256
	// openTimeout bounds an attempt to open a stream.
	openTimeout = 3 * time.Second
	// writeTimeout bounds the write of one chunk.
	writeTimeout = 5 * time.Second
	// retryDelay is the delay after a failed attempt to open a stream.
	retryDelay = 200 * time.Millisecond
	// unresponsiveTimeout is the time without a message from a replica after which the
	// next send replaces its connection with one from a new port.
	unresponsiveTimeout = 1500 * time.Millisecond
)

// Options configures a Link.
type Options struct {
	// Self is this replica, with the address at which others reach it.
	Self quorum.Member
	// Pool connects to other replicas.
	Pool *peer.Pool
	// Receive is called with received messages, concurrently by several goroutines.
	Receive func([]quorum.Message)
	// Identity returns this replica's identity.
	Identity func() Identity
	// Admit handles the request of a replica to be added.
	Admit func(ctx context.Context, joining quorum.Member) JoinResponse
	// Release handles the announcement of a replica that its process stops.
	Release func(ctx context.Context, leaving Departure) LeaveResponse
	Now     func() time.Time
	Log     *zap.Logger
}

// Link is a replica.Transport. It is safe for concurrent use.
type Link struct {
	options Options
	run     run // of this process
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	learnedAddrs map[quorum.ReplicaID]netip.AddrPort // from the Hellos of incoming streams
	senders      map[netip.AddrPort]*sender
	lastReceived map[netip.AddrPort]time.Time
	runs         map[netip.AddrPort]run // the latest, from the Hellos of incoming streams
}

// New returns a Link. It connects to a replica at the first message to it.
func New(o Options) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		options: o, run: run{id: rand.Uint64() | 1, startedAt: o.Now()}, ctx: ctx, cancel: cancel,
		learnedAddrs: make(map[quorum.ReplicaID]netip.AddrPort),
		senders:      make(map[netip.AddrPort]*sender),
		lastReceived: make(map[netip.AddrPort]time.Time),
		runs:         make(map[netip.AddrPort]run),
	}
}

// Close stops sending and waits for the senders to return.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.running.Wait()
}

// Send implements replica.Transport. It drops messages if the queue is full or the
// address is unknown.
func (l *Link) Send(to quorum.Member, messages []quorum.Message) {
	addr, ok := l.resolveAddr(to)
	if !ok {
		return
	}
	s := l.senderFor(addr)
	if s == nil {
		return
	}
	var regular, snapshots []quorum.Message
	for i := range messages {
		if messages[i].Snapshot != nil {
			snapshots = append(snapshots, messages[i])
		} else {
			regular = append(regular, messages[i])
		}
	}
	enqueue(s.messages, regular)
	enqueue(s.snapshots, snapshots)
}

func enqueue(queue chan []quorum.Message, messages []quorum.Message) {
	if len(messages) == 0 {
		return
	}
	select {
	case queue <- messages:
	default:
	}
}

// resolveAddr returns a member's address. The address in the membership takes
// precedence over a learned one.
func (l *Link) resolveAddr(to quorum.Member) (netip.AddrPort, bool) {
	if addr, err := netip.ParseAddrPort(to.Address); err == nil {
		return addr, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	addr, ok := l.learnedAddrs[to.ID]
	return addr, ok
}

func (l *Link) senderFor(addr netip.AddrPort) *sender {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	s := l.senders[addr]
	if s == nil {
		s = newSender(l, addr)
		l.senders[addr] = s
		l.running.Go(func() { s.run(s.messages) })
		l.running.Go(func() { s.run(s.snapshots) })
	}
	return s
}

// HandleMessages serves a stream of kind KindMessages.
func (l *Link) HandleMessages(_ context.Context, from keys.Info, s *peer.Stream) {
	hello, ok := l.receiveHello(from, s)
	if !ok {
		return
	}
	addr, err := netip.ParseAddrPort(hello.From.Address)
	if err != nil {
		l.options.Log.Warn("Rejected a message stream: the replica's address is invalid.", zap.String("peer", from.Name), zap.Error(err))
		return
	}
	l.recordRun(addr, &hello)
	l.recordHello(hello.From.ID, addr)
	for {
		messages, err := receiveBatch(s)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastReceived[addr] = l.options.Now()
		l.mu.Unlock()
		l.options.Receive(messages)
	}
}

// recordHello stores the address of a replica that opened a stream, and so is
// reachable now.
func (l *Link) recordHello(id quorum.ReplicaID, addr netip.AddrPort) {
	l.mu.Lock()
	l.learnedAddrs[id] = addr
	s := l.senders[addr]
	l.mu.Unlock()
	if s != nil {
		s.signalHello()
	}
}

// newHello returns the first message of a stream that is opened now.
func (l *Link) newHello() Hello {
	return Hello{From: l.options.Self, Run: l.run.id, Age: l.options.Now().Sub(l.run.startedAt)}
}

// recordRun stores the run of the process at addr. Streams that were opened before its
// start have ended with an earlier run, which nothing else tells this process.
func (l *Link) recordRun(addr netip.AddrPort, h *Hello) {
	if h.Run == 0 {
		return
	}
	r := run{id: h.Run, startedAt: l.options.Now().Add(-h.Age)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.runs[addr]; known.id == r.id && known.startedAt.Before(r.startedAt) {
		return
	}
	l.runs[addr] = r
}

// runStartedAt returns the start of the latest known run of the process at addr, or the
// zero time if none is known.
func (l *Link) runStartedAt(addr netip.AddrPort) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[addr].startedAt
}

// HandleIdentify serves a stream of kind KindIdentify.
func (l *Link) HandleIdentify(_ context.Context, from keys.Info, s *peer.Stream) {
	if _, ok := l.receiveHello(from, s); ok {
		_ = s.Send(l.options.Identity()) // on an error the peer's request fails
	}
}

// HandleJoin serves a stream of kind KindJoin.
func (l *Link) HandleJoin(ctx context.Context, from keys.Info, s *peer.Stream) {
	hello, ok := l.receiveHello(from, s)
	if !ok {
		return
	}
	_ = s.Send(l.options.Admit(ctx, hello.From)) // on an error the peer's request fails
}

// receiveHello reads the Hello of a stream. It rejects peers without the control role.
func (l *Link) receiveHello(from keys.Info, s *peer.Stream) (Hello, bool) {
	var hello Hello
	if !from.Allows(keys.Control) {
		l.options.Log.Warn("Rejected a replica stream: the peer does not have the control role.", zap.String("peer", from.Name))
		s.Abort()
		return hello, false
	}
	return hello, s.Recv(&hello) == nil
}

// Identify requests the identity of the replica at addr.
func (l *Link) Identify(ctx context.Context, addr netip.AddrPort) (Identity, error) {
	var identity Identity
	return identity, l.request(ctx, addr, KindIdentify, openTimeout, &identity)
}

// joinTimeout bounds a join request, whose response waits for a commit.
const joinTimeout = 6 * time.Second

// Join requests that the replica at addr add this one to its cluster. It returns the
// leader's address; if that is not addr, the request must be repeated there.
func (l *Link) Join(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	var response JoinResponse
	if err := l.request(ctx, addr, KindJoin, joinTimeout, &response); err != nil {
		return netip.AddrPort{}, err
	}
	if response.Reason != "" {
		return netip.AddrPort{}, ErrJoinRejected.New("replica at %s rejected the join request: %s", addr, response.Reason)
	}
	leader, err = netip.ParseAddrPort(response.LeaderAddress)
	if err != nil {
		return netip.AddrPort{}, ErrJoinRejected.Wrap(err, "replica at %s returned no leader with a valid address", addr)
	}
	return leader, nil
}

// request sends a Hello on a stream of a kind and reads the response.
func (l *Link) request(ctx context.Context, addr netip.AddrPort, kind string, timeout time.Duration, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := l.options.Pool.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(l.newHello()); err != nil {
		return err
	}
	return s.Recv(response)
}

// lastReceivedAt returns the time of the latest message from addr.
func (l *Link) lastReceivedAt(addr netip.AddrPort) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReceived[addr]
}

// LastReceived returns the time of the latest message from the replica at addr, or the
// zero time if there was none.
func (l *Link) LastReceived(addr netip.AddrPort) time.Time { return l.lastReceivedAt(addr) }

// receiveBatch reads the chunks of one batch.
func receiveBatch(s *peer.Stream) ([]quorum.Message, error) {
	var encoded []byte
	for {
		var c chunk
		if err := s.Recv(&c); err != nil {
			return nil, err
		}
		if len(encoded)+len(c.Data) > maxBatchBytes {
			return nil, ErrBatchTooLong.New("batch is longer than the maximum of %d bytes", maxBatchBytes)
		}
		if !c.More && encoded == nil {
			encoded = c.Data
			break
		}
		encoded = append(encoded, c.Data...)
		if !c.More {
			break
		}
	}
	return decodeBatch(encoded)
}

func decodeBatch(encoded []byte) ([]quorum.Message, error) {
	var messages []quorum.Message
	err := decMode.Unmarshal(encoded, &messages)
	return messages, err
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()
