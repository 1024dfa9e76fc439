package dissemination

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarmount.org/core/view"
)

var (
	schedules = flag.Int("schedules", 150, "number of seeded schedules to run")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// testDaemon is a subscriber in the simulated network: a leaf, a relay or the
// standby that replaces the root after a failover.
type testDaemon struct {
	name            string
	sink            *Sink
	relay           *Relay // nil at a leaf
	conn            *testConnection
	appliedVersions map[string]view.Version // newest applied versions, across restarts
	relayChoices    []int                   // indices of the relays to connect to; empty: the root
}

// testConnection is one connection. Undelivered messages are lost when it closes.
type testConnection struct {
	peer       PeerID
	subscriber *testDaemon
	upstream   *testDaemon // nil: the root
	toSource   []UpstreamMessage
	toSink     []DownstreamMessage
}

// testNetwork simulates a root, relays and daemons under a random schedule.
type testNetwork struct {
	t           *testing.T
	rand        *rand.Rand
	now         time.Duration
	root        *Root
	relays      []*testDaemon
	leaves      []*testDaemon
	standby     *testDaemon
	conns       []*testConnection
	lastSession uint64
	// committed lists the items committed by a quorum, in order. Items with the
	// prefix "soft" are published without a commit, so a failover may lose them.
	committed []Item
}

func newNetwork(t *testing.T, seed uint64) *testNetwork {
	n := &testNetwork{t: t, rand: rand.New(rand.NewPCG(seed, 1))}
	n.startRoot(NewStore(StoreOptions{MaxTombstones: 8}), 1)
	n.standby = &testDaemon{name: "standby"}
	for i := range 3 {
		n.relays = append(n.relays, &testDaemon{name: fmt.Sprint("relay-", i), relay: &Relay{}})
	}
	for i := range 6 {
		n.leaves = append(n.leaves, &testDaemon{name: fmt.Sprint("leaf-", i), relayChoices: []int{0, 1, 2}, appliedVersions: map[string]view.Version{}})
	}
	for _, d := range n.daemons() {
		n.restart(d)
	}
	return n
}

func (n *testNetwork) daemons() []*testDaemon {
	return append(append([]*testDaemon{n.standby}, n.relays...), n.leaves...)
}

func (n *testNetwork) options() SourceOptions {
	return SourceOptions{
		BatchWindow: 200 * time.Millisecond, MaxBatchBytes: 120, MaxInflightBatches: 2, MaxCatchUps: 2,
		ResendAfter: time.Second, DisconnectedRetention: 10 * time.Second, Rand: n.rand,
	}
}

func (n *testNetwork) restart(d *testDaemon) {
	opts := SinkOptions{DaemonID: d.name, SourceTimeout: 4 * time.Second}
	switch {
	case d.relay != nil:
		n.closeConnections(func(l *testConnection) bool { return l.upstream == d })
		d.relay = NewRelay(n.now, opts, n.options())
		d.sink = d.relay.Sink()
	default:
		if d != n.standby && d.name[len(d.name)-1]%2 == 0 {
			opts.Keys = []string{"key-1", "key-2", "soft-1"}
		}
		d.sink = NewSink(n.now, NewStore(StoreOptions{DropBodies: d != n.standby}), opts)
	}
	n.connect(d)
}

// closeConnections closes the matching connections.
func (n *testNetwork) closeConnections(match func(*testConnection) bool) {
	remaining := n.conns[:0]
	for _, l := range n.conns {
		if !match(l) {
			remaining = append(remaining, l)
			continue
		}
		l.subscriber.sink.Disconnect()
		l.subscriber.conn = nil
		n.source(l.upstream).Disconnect(n.now, l.peer)
	}
	n.conns = remaining
}

func (n *testNetwork) source(d *testDaemon) *Source {
	if d == nil {
		return n.root.Source
	}
	return d.relay.Source()
}

func (n *testNetwork) connect(d *testDaemon) {
	n.closeConnections(func(l *testConnection) bool { return l.subscriber == d })
	n.lastSession++
	d.conn = &testConnection{peer: PeerID(n.lastSession), subscriber: d}
	if len(d.relayChoices) > 0 {
		d.conn.upstream = n.relays[d.relayChoices[n.rand.IntN(len(d.relayChoices))]]
	}
	n.conns = append(n.conns, d.conn)
	if d.relay != nil {
		n.handleOutput(d, d.relay.Connect(n.now, n.lastSession))
		return
	}
	n.handleOutput(d, RelayOutput{Output: d.sink.Connect(n.now, n.lastSession)})
}

func (n *testNetwork) handleOutput(d *testDaemon, out RelayOutput) {
	if d.conn != nil {
		d.conn.toSource = append(d.conn.toSource, out.Messages...)
	}
	n.deliver(out.Deliveries)
	for _, it := range out.Applied {
		if d.appliedVersions == nil {
			break
		}
		previous, seen := d.appliedVersions[it.Key]
		if regressed := previous.Newer(it.Version); regressed && seen {
			n.t.Fatalf("%s: version of %s decreased from %v to %v at %v", d.name, it.Key, previous, it.Version, n.now)
		}
		d.appliedVersions[it.Key] = it.Version
	}
	if out.RetryAfter > 0 {
		n.closeConnections(func(l *testConnection) bool { return l.subscriber == d })
	}
}

func (n *testNetwork) deliver(all []Delivery) {
	for _, m := range all {
		for _, l := range n.conns {
			if l.peer == m.Peer {
				l.toSink = append(l.toSink, m.Message)
			}
		}
	}
}

// deliverOne delivers one message of a connection. With faults, the message may be
// lost, duplicated or reordered.
func (n *testNetwork) deliverOne(l *testConnection, faults bool) {
	if len(l.toSource) > 0 && (len(l.toSink) == 0 || n.rand.IntN(2) == 0) {
		m := nextMessage(n, &l.toSource, faults)
		if m == nil {
			return
		}
		if l.upstream == nil {
			n.deliver(n.root.Receive(n.now, l.peer, *m))
			return
		}
		n.handleOutput(l.upstream, l.upstream.relay.ReceiveFromSubscriber(n.now, l.peer, *m))
		return
	}
	if len(l.toSink) == 0 {
		return
	}
	m := nextMessage(n, &l.toSink, faults)
	switch {
	case m == nil:
	case l.subscriber.relay != nil:
		n.handleOutput(l.subscriber, l.subscriber.relay.ReceiveFromSource(n.now, *m))
	default:
		n.handleOutput(l.subscriber, RelayOutput{Output: l.subscriber.sink.Receive(n.now, *m)})
	}
}

func nextMessage[M any](n *testNetwork, queue *[]M, faults bool) *M {
	i := 0
	if faults {
		i = n.rand.IntN(min(len(*queue), 4))
	}
	m := (*queue)[i]
	if faults && n.rand.IntN(12) == 0 {
		return &m // It remains in the queue and is delivered again.
	}
	*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
	if faults && n.rand.IntN(12) == 0 {
		return nil
	}
	return &m
}

func (n *testNetwork) tick(step time.Duration) {
	n.now += step
	n.root.RecordConfirmation(n.now)
	n.deliver(n.root.Tick(n.now))
	for _, kv := range n.root.TakeNewerVersions() {
		n.publish(kv.Key)
	}
	for _, d := range n.daemons() {
		if d.conn == nil || d.sink.SourceTimedOut(n.now) {
			n.connect(d)
		}
		if d.relay != nil {
			n.handleOutput(d, d.relay.Tick(n.now))
			continue
		}
		n.handleOutput(d, RelayOutput{Output: d.sink.Tick(n.now)})
	}
}

func (n *testNetwork) publish(key string) {
	it := Item{Key: key, Version: n.root.NextVersion(), Body: fmt.Append(nil, n.rand.Uint64())}
	if n.rand.IntN(5) == 0 {
		it.Body, it.Deleted = nil, true
	}
	if _, err := n.root.Publish(it); err != nil {
		n.t.Fatal(err)
	}
	if key[0] == 'k' {
		n.committed = append(n.committed, it)
	}
}

// startRoot starts a root over a store and publishes the committed items that the
// store lacks.
func (n *testNetwork) startRoot(store *Store, epoch uint64) {
	root, err := NewRoot(epoch, store, n.options())
	if err != nil {
		n.t.Fatal(err)
	}
	n.root = root
	for _, it := range n.committed {
		if stored, ok := store.items[it.Key]; !ok || it.Version.Newer(stored.item.Version) {
			if _, err := root.Publish(it); err != nil {
				n.t.Fatal(err)
			}
		}
	}
}

func (n *testNetwork) failOver() {
	store, epoch := n.standby.sink.Store(), n.root.epoch+1
	n.closeConnections(func(l *testConnection) bool { return l.upstream == nil })
	if n.rand.IntN(4) == 0 {
		store = NewStore(StoreOptions{}) // All replicas except a new one were lost.
	}
	n.startRoot(store, epoch)
	n.restart(n.standby)
}

func (n *testNetwork) step() {
	switch p := n.rand.IntN(1000); {
	case p < 600 && len(n.conns) > 0:
		n.deliverOne(n.conns[n.rand.IntN(len(n.conns))], true)
	case p < 800:
		n.tick(time.Duration(n.rand.IntN(100)) * time.Millisecond)
	case p < 970:
		n.publish([]string{"key", "soft"}[n.rand.IntN(2)] + fmt.Sprint("-", n.rand.IntN(20)))
	case p < 980:
		n.restart(n.leaves[n.rand.IntN(len(n.leaves))])
	case p < 986:
		n.restart(n.relays[n.rand.IntN(len(n.relays))])
	case p < 996:
		n.connect(n.daemons()[n.rand.IntN(len(n.daemons()))])
	default:
		n.failOver()
	}
}

// deliverAll runs 20 s of simulated time and delivers messages without faults.
func (n *testNetwork) deliverAll() {
	for range 400 {
		n.tick(50 * time.Millisecond)
		for _, l := range n.conns {
			for range 20 {
				n.deliverOne(l, false)
			}
		}
	}
}

func (n *testNetwork) checkConverged() {
	for _, d := range n.leaves {
		if d.sink.Applied() != n.root.Store().Position() && d.sink.opts.Keys == nil {
			n.t.Fatalf("%s has applied %v, root is at %v", d.name, d.sink.Applied(), n.root.Store().Position())
		}
		for _, it := range n.root.Store().Items() {
			stored, ok := d.sink.Store().items[it.Key]
			if sub := d.sink.opts.Keys; sub != nil && !contains(sub, it.Key) {
				continue
			}
			if !ok || stored.item.Version != it.Version || stored.hash != it.hash() {
				n.t.Fatalf("%s lacks %s at %v", d.name, it.Key, it.Version)
			}
		}
		if d.sink.opts.Keys == nil && d.sink.Store().Digest() != n.root.Store().Digest() {
			n.t.Fatalf("digest of %s differs from the root's", d.name)
		}
	}
	if p := n.root.Progress(n.committedPosition()); p.Applied != p.Total || p.Total != len(n.leaves)+1 {
		n.t.Fatalf("progress is %+v", p)
	}
}

// committedPosition returns the position at which the newest committed item was
// last published.
func (n *testNetwork) committedPosition() Position {
	p := Position{Epoch: n.root.epoch}
	for _, it := range n.committed {
		if e, ok := n.root.store.items[it.Key]; ok {
			p.Number = max(p.Number, e.number)
		}
	}
	return p
}

func contains(all []string, s string) bool {
	for _, a := range all {
		if a == s {
			return true
		}
	}
	return false
}

func TestRandomSchedulesConverge(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := newNetwork(t, seed)
			for range 1500 {
				n.step()
			}
			n.deliverAll()
			n.checkConverged()
		})
	}
}
