package subscribe

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/peer"
)

// Errors of subscriptions.
var (
	Errors = errorx.NewNamespace("subscribe")

	// Refused: a control process serves enough others.
	Refused = Errors.NewType("refused")
	// Silent: a control process did not answer in time.
	Silent = Errors.NewType("silent")
)

const (
	// batchWindow is the least time between two batches of changes.
	batchWindow = 50 * time.Millisecond
	// gatherTime is how long the first change of a batch waits for those that are
	// made with it.
	gatherTime = 2 * time.Millisecond
	// confirmInterval is the time between confirmations by a majority.
	confirmInterval = 200 * time.Millisecond
	// maxSubscribers bounds the daemons of one process; others are sent away.
	maxSubscribers = 8192
	// queueLength bounds the messages that wait for one subscriber. Those
	// beyond it are dropped and sent again later.
	queueLength = 64
)

// PublisherOptions configure a Publisher.
type PublisherOptions struct {
	// Epoch is greater than that of every earlier publisher of the fleet.
	Epoch uint64
	// Confirm returns nil once a majority has confirmed, after the call, that
	// this process is the only publisher; nil where there can be no other.
	Confirm func(context.Context) error
	// Now is the clock.
	Now func() time.Time
}

// Publisher publishes the fleet's state from one control process. It is safe for concurrent use.
type Publisher struct {
	options PublisherOptions
	started time.Time

	mu     sync.Mutex
	root   *dissemination.Root
	queues map[dissemination.PeerID]chan dissemination.DownstreamMessage
	peers  dissemination.PeerID
	// changed asks for a batch before the next tick.
	changed chan struct{}
}

// NewPublisher returns a Publisher without items.
func NewPublisher(o PublisherOptions) (*Publisher, error) {
	root, err := dissemination.NewRoot(o.Epoch, dissemination.NewStore(dissemination.StoreOptions{}), dissemination.SourceOptions{
		BatchWindow:    batchWindow,
		MaxSubscribers: maxSubscribers,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, err
	}
	return &Publisher{
		options: o,
		started: o.Now(),
		root:    root,
		queues:  make(map[dissemination.PeerID]chan dissemination.DownstreamMessage),
		changed: make(chan struct{}, 1),
	}, nil
}

func (p *Publisher) now() time.Duration { return p.options.Now().Sub(p.started) }

// Publish numbers an item and hands it to the subscribers. The item is made by
// a function of the version that it is to carry.
func (p *Publisher) Publish(item func(view.Version) (dissemination.Item, error)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, err := item(p.root.NextVersion())
	if err != nil {
		return err
	}
	return p.publish(it)
}

// publish numbers an item and asks for a batch. The caller holds the lock.
func (p *Publisher) publish(it dissemination.Item) error {
	_, err := p.root.Publish(it)
	if err != nil {
		return err
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
	return nil
}

// Delete removes the item of a key, if there is one.
func (p *Publisher) Delete(key string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.root.Store().Get(key); !ok {
		return nil
	}
	return p.publish(dissemination.Item{Key: key, Version: p.root.NextVersion(), Deleted: true})
}

// Position returns the position of the newest change.
func (p *Publisher) Position() dissemination.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.root.Store().Position()
}

// Progress tells at how many daemons a position is in force, and names some of
// the others.
func (p *Publisher) Progress(at dissemination.Position) dissemination.Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.root.Progress(at)
}

// Run serves timers until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	if p.options.Confirm != nil {
		go p.confirm(ctx)
	}
	go p.hurry(ctx)
	pace.Every(ctx, tickInterval, p.tick)
}

func (p *Publisher) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.root.Tick(p.now()))
}

// hurry sends the first changes after a quiet time at once, and others as soon as the
// batch window allows, until ctx ends.
func (p *Publisher) hurry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
		}
		for wait := gatherTime; wait > 0; wait = p.tickIfDue() {
			if !pace.Sleep(ctx, wait) {
				return
			}
		}
	}
}

// tickIfDue sends the changes if a batch is due. It returns the time until one is due, or
// 0 if no change is left to send.
func (p *Publisher) tickIfDue() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.root.BatchDue(now) {
		p.deliver(p.root.Tick(now))
	}
	return p.root.BatchDueAfter(now)
}

// confirm has a majority confirm the publisher, over and over.
func (p *Publisher) confirm(ctx context.Context) {
	for {
		began := p.now()
		if p.options.Confirm(ctx) == nil {
			p.mu.Lock()
			p.root.RecordConfirmation(began)
			p.deliver(p.root.Tick(p.now())) // to those that wait for a confirmation
			p.mu.Unlock()
		}
		if !pace.Sleep(ctx, confirmInterval) {
			return
		}
	}
}

// Handle serves one subscription.
func (p *Publisher) Handle(ctx context.Context, _ keys.Info, stream *peer.Stream) {
	id, queue := p.connect()
	defer p.disconnect(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer stream.Abort()
		send(ctx, stream, queue)
	}()
	for {
		var m dissemination.UpstreamMessage
		if err := stream.Recv(&m); err != nil {
			return
		}
		p.receive(id, m)
	}
}

func (p *Publisher) connect() (dissemination.PeerID, <-chan dissemination.DownstreamMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers++
	queue := make(chan dissemination.DownstreamMessage, queueLength)
	p.queues[p.peers] = queue
	return p.peers, queue
}

func (p *Publisher) disconnect(id dissemination.PeerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.queues, id)
	p.root.Disconnect(p.now(), id)
}

func (p *Publisher) receive(id dissemination.PeerID, m dissemination.UpstreamMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.options.Confirm == nil {
		p.root.RecordConfirmation(now)
	}
	p.deliver(p.root.Receive(now, id, m))
}

// deliver queues messages. The caller holds the lock.
func (p *Publisher) deliver(all []dissemination.Delivery) {
	for _, d := range all {
		select {
		case p.queues[d.Peer] <- d.Message:
		default:
		}
	}
}

// send writes queued messages until the stream fails or ctx ends.
func send(ctx context.Context, stream *peer.Stream, queue <-chan dissemination.DownstreamMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if err := stream.Send(m); err != nil {
				return
			}
		}
	}
}
