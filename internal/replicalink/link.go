// Package replicalink carries messages between replicas over QUIC streams with
// mutual TLS. Each replica opens a stream to each other one for messages, and
// a second one for snapshots, which would hold up heartbeats.
package replicalink

import (
	"context"
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

// The kinds of streams.
const (
	// KindMessages carries a Hello and then batches of messages one way.
	KindMessages = "replica-messages"
	// KindIdentify carries a Hello one way and an Identity back.
	KindIdentify = "replica-identify"
	// KindJoin carries a Hello one way and an Admission back.
	KindJoin = "replica-join"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("replicalink")

// ErrJoinRejected says that a replica was not added.
var ErrJoinRejected = Errors.NewType("not_admitted", errorx.Temporary())

// ErrBatchTooLong refuses a batch that is longer than any replica sends.
var ErrBatchTooLong = Errors.NewType("too_long")

// Hello is the first message of a stream.
type Hello struct {
	// From is the sender, with the address where it takes messages.
	From quorum.Member `cbor:"1,keyasint"`
}

// Identity is what a replica tells about itself.
type Identity struct {
	Member quorum.Member `cbor:"1,keyasint"`
	// GroupName is the operators' name of the control group.
	GroupName string `cbor:"2,keyasint"`
	// Cluster is zero while the replica belongs to none.
	Cluster quorum.ClusterID `cbor:"3,keyasint"`
	// InitialMembership is the first membership of a cluster that holds nothing yet.
	InitialMembership quorum.Membership `cbor:"4,keyasint"`
}

// JoinResponse answers a replica that asks to be added.
type JoinResponse struct {
	Accepted bool `cbor:"1,keyasint"`
	// LeaderAddress is the address of the replica that can add others, where known.
	LeaderAddress string `cbor:"2,keyasint,omitempty"`
	// Reason tells why the replica was not added.
	Reason string `cbor:"3,keyasint,omitempty"`
}

// part is a piece of an encoded batch; batches may exceed one peer message.
type part struct {
	Data []byte `cbor:"1,keyasint"`
	More bool   `cbor:"2,keyasint,omitempty"`
}

const (
	maxPartBytes  = 1 << 20
	maxBatchBytes = 256 << 20
	queueBatches  = 256
	// openTimeout bounds the opening of a stream.
	openTimeout = 3 * time.Second
	// writeTimeout bounds the writing of one part.
	writeTimeout = 5 * time.Second
	// retryDelay is the pause after a stream could not be opened.
	retryDelay = 200 * time.Millisecond
	// silence is how long a peer may be sent to without an answer before its
	// connection is replaced by one from a new port.
	silence = 1500 * time.Millisecond
)

// Options configure a Link.
type Options struct {
	// Self is this replica, with the address where others reach it.
	Self quorum.Member
	// Pool connects to other replicas.
	Pool *peer.Pool
	// Receive takes the messages that arrive, from several goroutines.
	Receive func([]quorum.Message)
	// Identity tells about this replica.
	Identity func() Identity
	// Admit decides about a replica that asks to be added.
	Admit func(ctx context.Context, who quorum.Member) JoinResponse
	Now   func() time.Time
	Log   *zap.Logger
}

// Link is a replica.Transport. It is safe for concurrent use.
type Link struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	routes  map[quorum.ReplicaID]netip.AddrPort // learnt from streams
	senders map[netip.AddrPort]*sender
	heard   map[netip.AddrPort]time.Time
}

// New returns a Link that dials when there is something to send.
func New(o Options) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		options: o, ctx: ctx, cancel: cancel,
		routes:  make(map[quorum.ReplicaID]netip.AddrPort),
		senders: make(map[netip.AddrPort]*sender),
		heard:   make(map[netip.AddrPort]time.Time),
	}
}

// Close ends all sending.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.running.Wait()
}

// Send implements replica.Transport. Messages beyond a full queue are dropped.
func (l *Link) Send(to quorum.Member, messages []quorum.Message) {
	addr, ok := l.address(to)
	if !ok {
		return
	}
	s := l.sender(addr)
	if s == nil {
		return
	}
	var small, large []quorum.Message
	for i := range messages {
		if messages[i].Snapshot != nil {
			large = append(large, messages[i])
		} else {
			small = append(small, messages[i])
		}
	}
	offer(s.messages, small)
	offer(s.snapshots, large)
}

func offer(queue chan []quorum.Message, messages []quorum.Message) {
	if len(messages) == 0 {
		return
	}
	select {
	case queue <- messages:
	default:
	}
}

// address prefers the membership's address to one that was learnt.
func (l *Link) address(to quorum.Member) (netip.AddrPort, bool) {
	if addr, err := netip.ParseAddrPort(to.Address); err == nil {
		return addr, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	addr, ok := l.routes[to.ID]
	return addr, ok
}

func (l *Link) sender(addr netip.AddrPort) *sender {
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

// HandleMessages serves a stream of kind Messages.
func (l *Link) HandleMessages(_ context.Context, from keys.Info, s *peer.Stream) {
	hello, ok := l.greet(from, s)
	if !ok {
		return
	}
	addr, err := netip.ParseAddrPort(hello.From.Address)
	if err != nil {
		l.options.Log.Warn("Refused a replica without an address.", zap.String("peer", from.Name), zap.Error(err))
		return
	}
	l.greeted(hello.From.ID, addr)
	for {
		messages, err := receive(s)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.heard[addr] = l.options.Now()
		l.mu.Unlock()
		l.options.Receive(messages)
	}
}

// greeted notes the address of a replica that can be reached now.
func (l *Link) greeted(id quorum.ReplicaID, addr netip.AddrPort) {
	l.mu.Lock()
	l.routes[id] = addr
	s := l.senders[addr]
	l.mu.Unlock()
	if s != nil {
		s.greeted()
	}
}

// HandleIdentify serves a stream of kind Identify.
func (l *Link) HandleIdentify(_ context.Context, from keys.Info, s *peer.Stream) {
	if _, ok := l.greet(from, s); ok {
		_ = s.Send(l.options.Identity()) // an error is the peer's loss
	}
}

// HandleJoin serves a stream of kind Join.
func (l *Link) HandleJoin(ctx context.Context, from keys.Info, s *peer.Stream) {
	hello, ok := l.greet(from, s)
	if !ok {
		return
	}
	_ = s.Send(l.options.Admit(ctx, hello.From)) // an error is the peer's loss
}

// greet reads the Hello of a control process; others are refused.
func (l *Link) greet(from keys.Info, s *peer.Stream) (Hello, bool) {
	var hello Hello
	if !from.Allows(keys.Control) {
		l.options.Log.Warn("Refused a process that is no control process.", zap.String("peer", from.Name))
		s.Abort()
		return hello, false
	}
	return hello, s.Recv(&hello) == nil
}

// Identify asks the replica at addr who it is.
func (l *Link) Identify(ctx context.Context, addr netip.AddrPort) (Identity, error) {
	var identity Identity
	return identity, l.ask(ctx, addr, KindIdentify, openTimeout, &identity)
}

// joinTimeout bounds a request to be added, which waits for a commit.
const joinTimeout = 6 * time.Second

// Join asks the replica at addr to add this one. It returns the address of the
// leader where the replica at addr is not it.
func (l *Link) Join(ctx context.Context, addr netip.AddrPort) (leader netip.AddrPort, err error) {
	var admission JoinResponse
	if err := l.ask(ctx, addr, KindJoin, joinTimeout, &admission); err != nil {
		return netip.AddrPort{}, err
	}
	if admission.Reason != "" {
		return netip.AddrPort{}, ErrJoinRejected.New("replica at %s: %s", addr, admission.Reason)
	}
	leader, err = netip.ParseAddrPort(admission.LeaderAddress)
	if err != nil {
		return netip.AddrPort{}, ErrJoinRejected.Wrap(err, "replica at %s names no leader", addr)
	}
	return leader, nil
}

// ask sends a Hello on a stream of a kind and reads the answer.
func (l *Link) ask(ctx context.Context, addr netip.AddrPort, kind string, limit time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := l.options.Pool.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(Hello{From: l.options.Self}); err != nil {
		return err
	}
	return s.Recv(answer)
}

// lastHeard returns when a message from addr arrived last.
func (l *Link) lastHeard(addr netip.AddrPort) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard[addr]
}

// receive reads one batch.
func receive(s *peer.Stream) ([]quorum.Message, error) {
	var encoded []byte
	for {
		var p part
		if err := s.Recv(&p); err != nil {
			return nil, err
		}
		if len(encoded)+len(p.Data) > maxBatchBytes {
			return nil, ErrBatchTooLong.New("batch is longer than %d bytes", maxBatchBytes)
		}
		if !p.More && encoded == nil {
			encoded = p.Data
			break
		}
		encoded = append(encoded, p.Data...)
		if !p.More {
			break
		}
	}
	return decodeBatch(encoded)
}

func decodeBatch(encoded []byte) ([]quorum.Message, error) {
	var messages []quorum.Message
	err := decoding.Unmarshal(encoded, &messages)
	return messages, err
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()
