package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
)

// Options configure a Node.
type Options struct {
	Store        Store
	StateMachine StateMachine
	Transport    Transport
	// Rand draws election timeouts and the numbers of proposals.
	Rand *rand.Rand
	// TickInterval is the unit of the replica's time; zero stands for TickInterval.
	TickInterval time.Duration
	// Ticks advances the replica's time; nil ticks every Tick.
	Ticks <-chan time.Time
	// CallTimeout bounds calls whose context has no earlier end.
	CallTimeout time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// TrailingEntries is the number of entries kept behind a snapshot.
	TrailingEntries uint64
	// Log may be nil.
	Log *zap.Logger
}

// Defaults of Options. With ten ticks per election timeout, a new leader is
// found within about two seconds.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	defaultCallTimeout     = 10 * time.Second
	defaultSnapshotEntries = 4096
	defaultKeepEntries     = 1024
	inboxBatches           = 256
)

// Node is one running replica. It is safe for concurrent use.
type Node struct {
	options Options
	core    *quorum.Replica
	log     *zap.Logger

	inbox chan []quorum.Message
	calls chan func()
	stop  chan struct{}
	done  chan struct{}

	// Owned by the loop.
	number    uint64
	applied   uint64
	snapshot  uint64 // last entry in the latest snapshot
	broken    error  // why the replica must not go on
	proposals map[uint64]*proposal
	waiting   []*proposal // no leader is known yet
	reads     map[uint64]*read

	counters Counters

	mu      sync.Mutex
	err     error
	last    Status // once the loop has ended
	soft    quorum.SoftState
	changed chan struct{}
}

// Start runs a replica that continues from what the store holds.
func Start(o Options) (*Node, error) {
	setDefaults(&o)
	state := o.Store.State()
	if len(state.Snapshot.Data) > 0 {
		if err := o.StateMachine.Restore(state.Snapshot.Data); err != nil {
			return nil, ErrStateMachine.Wrap(err, "snapshot %d does not restore", state.Snapshot.Index)
		}
	}
	core, err := quorum.New(quorum.Config{
		ID: o.Store.Replica(), Rand: o.Rand,
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	})
	if err != nil {
		return nil, err
	}
	if members := core.Membership(); members.VoterCount() == 1 {
		core.Campaign() // nobody else could lead
	}
	n := &Node{
		options: o, core: core, log: o.Log,
		inbox: make(chan []quorum.Message, inboxBatches), calls: make(chan func()),
		stop: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
		number: o.Rand.Uint64(), applied: state.Snapshot.Index, snapshot: state.Snapshot.Index,
		proposals: make(map[uint64]*proposal), reads: make(map[uint64]*read),
	}
	go n.run()
	return n, nil
}

func setDefaults(o *Options) {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.TrailingEntries == 0 {
		o.TrailingEntries = defaultKeepEntries
	}
	if o.TickInterval == 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

// Receive takes messages from the transport. When the replica is behind with
// them they are dropped; the protocol sends what matters again.
func (n *Node) Receive(messages []quorum.Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Done is closed when the replica has ended, by Stop or by a failed store.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the replica ended on its own, or nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Stop hands leadership on if it can before ctx ends, and ends the replica.
func (n *Node) Stop(ctx context.Context) error {
	n.handOver(ctx)
	close(n.stop)
	<-n.done
	return n.Err()
}

func (n *Node) run() {
	defer close(n.done)
	if err := n.work(); err != nil {
		n.end(err)
		return
	}
	ticks := n.options.Ticks
	if ticks == nil {
		ticker := time.NewTicker(n.options.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-n.stop:
			n.end(nil)
			return
		case <-ticks:
			n.tick()
		case messages := <-n.inbox:
			n.step(messages)
		case call := <-n.calls:
			call()
		}
		n.drain()
		if err := n.work(); err != nil {
			n.log.Error("Replica stops.", zap.Error(err))
			n.end(err)
			return
		}
	}
}

// drain takes what else is there, so that one sync serves many proposals.
func (n *Node) drain() {
	for range inboxBatches {
		select {
		case messages := <-n.inbox:
			n.step(messages)
		case call := <-n.calls:
			call()
		default:
			return
		}
	}
}

func (n *Node) tick() {
	n.core.Tick()
	n.retryWaiting()
	n.retryReads()
}

func (n *Node) step(messages []quorum.Message) {
	for i := range messages {
		if err := n.core.Step(messages[i]); err != nil {
			n.refused(messages[i], err)
		}
	}
}

// work carries out what the core is ready to do.
func (n *Node) work() error {
	for {
		if n.broken != nil {
			return n.broken
		}
		rd := n.core.Ready()
		if rd.IsEmpty() {
			return nil
		}
		if err := n.carryOut(rd); err != nil {
			return err
		}
	}
}

func (n *Node) carryOut(rd quorum.Ready) error {
	n.send(rd.ImmediateMessages)
	if err := n.options.Store.Save(rd); err != nil {
		return err
	}
	if rd.Snapshot != nil {
		if err := n.restore(*rd.Snapshot); err != nil {
			return err
		}
	}
	n.send(rd.Messages)
	for i := range rd.CommittedEntries {
		n.apply(rd.CommittedEntries[i])
	}
	n.core.Advance(rd)
	for _, state := range rd.ReadStates {
		n.confirmRead(state)
	}
	n.finishReads()
	if rd.SoftState != nil {
		n.leaderChanged(*rd.SoftState)
	}
	return n.compact()
}

func (n *Node) restore(s quorum.Snapshot) error {
	// The first snapshot of a cluster holds a membership and no state.
	if len(s.Data) > 0 {
		if err := n.options.StateMachine.Restore(s.Data); err != nil {
			return ErrStateMachine.Wrap(err, "snapshot %d does not restore", s.Index)
		}
	}
	n.applied, n.snapshot = s.Index, s.Index
	n.membersChanged()
	// Their entries may lie within the snapshot, and their results with them.
	n.failProposals(ErrOutcomeUnknown.New("a snapshot replaced the log up to entry %d", s.Index))
	return nil
}

func (n *Node) apply(e quorum.Entry) {
	var result []byte
	if e.Kind == quorum.EntryCommand {
		result = n.options.StateMachine.Apply(e.Index, e.Data)
	}
	if e.Kind == quorum.EntryChange {
		n.membersChanged()
	}
	n.applied = e.Index
	n.counters.Applied++
	if p := n.proposals[e.ProposalID]; p != nil && e.Proposer == n.options.Store.Replica() {
		delete(n.proposals, e.ProposalID)
		p.finish(result, nil)
	}
}

// compact takes a snapshot when enough was applied since the last one.
func (n *Node) compact() error {
	if n.applied < n.snapshot+n.options.SnapshotEntries {
		return nil
	}
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return ErrStateMachine.Wrap(err, "no snapshot at entry %d", n.applied)
	}
	snapshot, err := n.core.Snapshot(n.applied, state)
	if err != nil {
		return err
	}
	first := snapshot.Index + 1 - min(snapshot.Index, n.options.TrailingEntries)
	if err := n.options.Store.Compact(snapshot, first); err != nil {
		return err
	}
	n.core.Compact(snapshot, n.options.TrailingEntries)
	n.snapshot = snapshot.Index
	n.counters.Snapshots++
	n.log.Info("Took a snapshot.", zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(state)))
	return nil
}

// send groups messages by their receiver.
func (n *Node) send(messages []quorum.Message) {
	members := n.core.Membership()
	for len(messages) > 0 {
		to := messages[0].To
		var batch, rest []quorum.Message
		for i := range messages {
			if messages[i].To == to {
				batch = append(batch, messages[i])
			} else {
				rest = append(rest, messages[i])
			}
		}
		n.options.Transport.Send(n.receiver(members, to), batch)
		messages = rest
	}
}

// receiver returns the member to send to. A replica that is new to the log
// does not know the address of the leader that it answers.
func (n *Node) receiver(members quorum.Membership, id quorum.ReplicaID) quorum.Member {
	if member, ok := members.Find(id); ok {
		return member
	}
	return quorum.Member{ID: id}
}

// end fails all calls and keeps the last status.
func (n *Node) end(err error) {
	n.mu.Lock()
	n.err = err
	n.last = n.status()
	n.mu.Unlock()
	// Whoever acts as the leader's process must not go on.
	n.leaderChanged(quorum.SoftState{Term: n.last.Term})
	n.failProposals(ErrOutcomeUnknown.New("the replica ended"))
	for _, p := range n.waiting {
		p.finish(nil, ErrStopped.New("the replica ended"))
	}
	for number, r := range n.reads {
		delete(n.reads, number)
		r.done <- ErrStopped.New("the replica ended")
	}
}
