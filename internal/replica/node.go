package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
)

// Options configures a Node.
type Options struct {
	Store        Store
	StateMachine StateMachine
	Transport    Transport
	// Rand randomizes election timeouts and the first request ID.
	Rand *rand.Rand
	// TickInterval is the time between ticks; zero means DefaultTickInterval.
	TickInterval time.Duration
	// Ticks drives the replica's clock; nil means a ticker of TickInterval.
	Ticks <-chan time.Time
	// CallTimeout bounds calls whose context has no earlier deadline.
	CallTimeout time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied entries after which a snapshot is taken
	// even if they are fewer than SnapshotEntries. While the snapshots are large it is
	// exceeded, see snapshotDueBytes.
	SnapshotBytes int
	// TrailingEntries is the number of log entries retained before a snapshot's
	// index, so that a follower slightly behind needs no snapshot.
	TrailingEntries uint64
	// TrailingBytes limits the size of the retained entries.
	TrailingBytes int
	// Log may be nil.
	Log *zap.Logger
}

// Defaults of Options. With ten ticks per election timeout, a new leader is
// elected within about two seconds.
const (
	DefaultTickInterval    = 100 * time.Millisecond
	defaultCallTimeout     = 10 * time.Second
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 1 << 20
	defaultTrailingEntries = 1024
	defaultTrailingBytes   = 1 << 20
	inboxCapacity          = 256
	// snapshotSizeFactor is the least ratio of the entries between two snapshots to the
	// size of a snapshot, so that writing snapshots costs at most a fraction of writing
	// the log.
	snapshotSizeFactor = 4
)

// Node is one running replica. It is safe for concurrent use.
type Node struct {
	options Options
	raft    *quorum.Replica
	log     *zap.Logger

	inbox         chan []quorum.Message
	loopCalls     chan func()
	stopRequested chan struct{}
	stopOnce      sync.Once
	done          chan struct{}

	// The fields below belong to the event loop.

	lastRequestID      uint64 // of proposals and reads
	appliedIndex       uint64
	snapshotIndex      uint64 // index of the last entry in the latest snapshot
	snapshotBytes      int    // size of the latest snapshot
	appliedBytes       int    // size of the entries applied since the latest snapshot
	fatalErr           error  // stops the replica when set
	submittedProposals map[uint64]*proposal
	queuedProposals    []*proposal // not yet submitted: no leader accepts proposals
	pendingReads       map[uint64]*pendingRead

	counters Counters

	mu          sync.Mutex
	err         error
	finalStatus Status // set when the loop ends
	softState   quorum.SoftState
	changed     chan struct{} // closed when softState or the membership changes
}

// Start starts a replica from the state in the store.
func Start(o Options) (*Node, error) {
	setDefaults(&o)
	state := o.Store.State()
	if len(state.Snapshot.Data) > 0 {
		if err := o.StateMachine.Restore(state.Snapshot.Data); err != nil {
			return nil, ErrStateMachine.Wrap(err, "cannot restore the stored snapshot at index %d", state.Snapshot.Index)
		}
	}
	raft, err := quorum.New(quorum.Config{
		ID: o.Store.Replica(), Rand: o.Rand,
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	})
	if err != nil {
		return nil, err
	}
	// After a loss of power there is no leader to wait for, and a pre-vote does not
	// disrupt one that lives.
	raft.Campaign()
	n := &Node{
		options: o, raft: raft, log: o.Log,
		inbox: make(chan []quorum.Message, inboxCapacity), loopCalls: make(chan func()),
		stopRequested: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
		lastRequestID: o.Rand.Uint64(), appliedIndex: state.Snapshot.Index, snapshotIndex: state.Snapshot.Index,
		snapshotBytes:      len(state.Snapshot.Data),
		submittedProposals: make(map[uint64]*proposal), pendingReads: make(map[uint64]*pendingRead),
	}
	n.log.Info("Started the replica.", zap.Stringer("replica", o.Store.Replica()), zap.Uint64("snapshot", state.Snapshot.Index),
		zap.Int("snapshot_bytes", len(state.Snapshot.Data)), zap.Int("log_entries", len(state.Entries)), zap.Int("log_bytes", raft.Status().LogBytes))
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
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.TrailingEntries == 0 {
		o.TrailingEntries = defaultTrailingEntries
	}
	if o.TrailingBytes == 0 {
		o.TrailingBytes = defaultTrailingBytes
	}
	if o.TickInterval == 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

// Receive queues messages from the transport. It drops them if the queue is full;
// the protocol retransmits.
func (n *Node) Receive(messages []quorum.Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Done returns a channel that is closed when the replica has stopped, by Stop or
// after an error; see Err.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the replica, or nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Stop stops the replica. If it is the leader, Stop first tries to transfer
// leadership until ctx ends. Further calls wait for the first one.
func (n *Node) Stop(ctx context.Context) error {
	n.transferOnStop(ctx)
	n.stopOnce.Do(func() { close(n.stopRequested) })
	<-n.done
	return n.Err()
}

func (n *Node) run() {
	defer close(n.done)
	if err := n.processReady(); err != nil {
		n.terminate(err)
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
		case <-n.stopRequested:
			n.terminate(nil)
			return
		case <-ticks:
			n.tick()
		case messages := <-n.inbox:
			n.step(messages)
		case call := <-n.loopCalls:
			call()
		}
		n.drainQueues()
		if err := n.processReady(); err != nil {
			n.log.Error("Replica stopped after a fatal error.", zap.Error(err))
			n.terminate(err)
			return
		}
	}
}

// drainQueues processes further queued messages and calls, so that many proposals
// share one sync. It processes a limited number, lest the loop never save.
func (n *Node) drainQueues() {
	for range inboxCapacity {
		select {
		case messages := <-n.inbox:
			n.step(messages)
		case call := <-n.loopCalls:
			call()
		default:
			return
		}
	}
}

func (n *Node) tick() {
	n.raft.Tick()
	n.retryQueuedProposals()
	n.retryReads()
}

func (n *Node) step(messages []quorum.Message) {
	for i := range messages {
		if err := n.raft.Step(messages[i]); err != nil {
			n.handleStepError(messages[i], err)
		}
	}
}

// processReady executes the outstanding work of core/quorum until none is left.
func (n *Node) processReady() error {
	for {
		if n.fatalErr != nil {
			return n.fatalErr
		}
		rd := n.raft.Ready()
		if rd.IsEmpty() {
			return nil
		}
		if err := n.handleReady(rd); err != nil {
			return err
		}
	}
}

// handleReady executes rd in the order that quorum.Ready requires: messages other
// than the immediate ones are sent only after the save.
func (n *Node) handleReady(rd quorum.Ready) error {
	n.send(rd.ImmediateMessages)
	if err := n.options.Store.Save(rd); err != nil {
		return err
	}
	if rd.Snapshot != nil {
		if err := n.restoreSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	n.send(rd.Messages)
	for i := range rd.CommittedEntries {
		n.applyEntry(rd.CommittedEntries[i])
	}
	n.raft.Advance(rd)
	for _, state := range rd.ReadStates {
		n.recordReadIndex(state)
	}
	n.completeReads()
	if rd.SoftState != nil {
		n.updateSoftState(*rd.SoftState)
	}
	return n.compactIfDue()
}

func (n *Node) restoreSnapshot(s quorum.Snapshot) error {
	// A cluster's initial snapshot contains a membership and no state.
	if len(s.Data) > 0 {
		if err := n.options.StateMachine.Restore(s.Data); err != nil {
			return ErrStateMachine.Wrap(err, "cannot restore the leader's snapshot at index %d", s.Index)
		}
	}
	n.appliedIndex, n.snapshotIndex = s.Index, s.Index
	n.appliedBytes, n.snapshotBytes = 0, len(s.Data)
	n.log.Info("Installed the leader's snapshot.", zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	n.notifyWaiters()
	// The snapshot may cover the proposals' entries, whose results are then lost.
	n.failSubmittedProposals(ErrOutcomeUnknown.New("the leader's snapshot replaced the log through index %d", s.Index))
	return nil
}

func (n *Node) applyEntry(e quorum.Entry) {
	var result []byte
	if e.Kind == quorum.EntryCommand {
		result = n.options.StateMachine.Apply(e.Index, e.Data)
	}
	if e.Kind == quorum.EntryChange {
		n.notifyWaiters()
	}
	n.appliedIndex = e.Index
	n.appliedBytes += e.Size()
	n.counters.Applied++
	if p := n.submittedProposals[e.ProposalID]; p != nil && e.Proposer == n.options.Store.Replica() {
		delete(n.submittedProposals, e.ProposalID)
		p.complete(result, nil)
	}
}

// isSnapshotDue reports whether the entries applied since the last snapshot are so many
// or so large that a replica with an empty disk would take long to replay them.
func (n *Node) isSnapshotDue() bool {
	return n.appliedIndex >= n.snapshotIndex+n.options.SnapshotEntries || n.appliedBytes >= n.snapshotDueBytes()
}

// snapshotDueBytes returns the size of the applied entries at which a snapshot is due.
func (n *Node) snapshotDueBytes() int {
	return max(n.options.SnapshotBytes, snapshotSizeFactor*n.snapshotBytes)
}

// compactIfDue takes a snapshot and compacts the log if a snapshot is due.
func (n *Node) compactIfDue() error {
	if !n.isSnapshotDue() {
		return nil
	}
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return ErrStateMachine.Wrap(err, "cannot create a snapshot at index %d", n.appliedIndex)
	}
	snapshot, err := n.raft.Snapshot(n.appliedIndex, state)
	if err != nil {
		return err
	}
	trailing := n.raft.TrailingEntries(snapshot.Index, n.options.TrailingEntries, n.options.TrailingBytes)
	if err := n.options.Store.Compact(snapshot, snapshot.Index+1-trailing); err != nil {
		return err
	}
	n.raft.Compact(snapshot, trailing)
	n.snapshotIndex, n.snapshotBytes, n.appliedBytes = snapshot.Index, len(state), 0
	n.counters.Snapshots++
	n.log.Info("Took a snapshot.", zap.Uint64("index", snapshot.Index), zap.Int("bytes", len(state)), zap.Uint64("trailing_entries", trailing))
	return nil
}

// send passes messages to the transport, in one batch per recipient.
func (n *Node) send(messages []quorum.Message) {
	members := n.raft.Membership()
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
		n.options.Transport.Send(n.recipient(members, to), batch)
		messages = rest
	}
}

// recipient returns the member with an ID. A replica that has not received the
// membership yet does not know the leader's address; the member it responds to then
// has an ID only.
func (n *Node) recipient(members quorum.Membership, id quorum.ReplicaID) quorum.Member {
	if member, ok := members.Find(id); ok {
		return member
	}
	return quorum.Member{ID: id}
}

// terminate fails all outstanding calls and stores the final status.
func (n *Node) terminate(err error) {
	n.mu.Lock()
	n.err = err
	n.finalStatus = n.status()
	n.mu.Unlock()
	// Observers of Leader must not act as the leader's process any longer.
	n.updateSoftState(quorum.SoftState{Term: n.finalStatus.Term})
	n.failSubmittedProposals(ErrOutcomeUnknown.New("replica stopped before the entry was applied"))
	for _, p := range n.queuedProposals {
		p.complete(nil, ErrStopped.New("replica stopped before the proposal was submitted"))
	}
	for id, r := range n.pendingReads {
		delete(n.pendingReads, id)
		r.done <- ErrStopped.New("replica stopped before the read completed")
	}
}
