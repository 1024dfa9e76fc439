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

// daemon is a subscriber of the fake network: a leaf, a relay or the follower
// that takes over from the root.
type daemon struct {
	name   string
	sink   *Sink
	relay  *Relay // nil at a leaf
	link   *link
	known  map[string]view.Version // in force in this run or an earlier one
	uppers []int                   // relays to choose from; empty: the root
}

// link is one connection. Messages of a closed link are lost.
type link struct {
	peer  PeerID
	lower *daemon
	upper *daemon // nil: the root
	up    []UpstreamMessage
	down  []DownstreamMessage
}

// network runs root, relays and daemons under a random schedule.
type network struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Duration
	root    *Root
	relays  []*daemon
	leaves  []*daemon
	standby *daemon
	links   []*link
	serial  uint64
	durable []Item // what a quorum has committed, in order
}

func newNetwork(t *testing.T, seed uint64) *network {
	n := &network{t: t, rand: rand.New(rand.NewPCG(seed, 1))}
	n.lead(NewStore(StoreOptions{MaxTombstones: 8}), 1)
	n.standby = &daemon{name: "standby"}
	for i := range 3 {
		n.relays = append(n.relays, &daemon{name: fmt.Sprint("relay-", i), relay: &Relay{}})
	}
	for i := range 6 {
		n.leaves = append(n.leaves, &daemon{name: fmt.Sprint("leaf-", i), uppers: []int{0, 1, 2}, known: map[string]view.Version{}})
	}
	for _, d := range n.all() {
		n.restart(d)
	}
	return n
}

func (n *network) all() []*daemon {
	return append(append([]*daemon{n.standby}, n.relays...), n.leaves...)
}

func (n *network) options() SourceOptions {
	return SourceOptions{
		BatchWindow: 200 * time.Millisecond, MaxBatchBytes: 120, MaxInflightBatches: 2, MaxCatchUps: 2,
		ResendAfter: time.Second, DisconnectedRetention: 10 * time.Second, Rand: n.rand,
	}
}

func (n *network) restart(d *daemon) {
	opts := SinkOptions{DaemonID: d.name, SourceTimeout: 4 * time.Second}
	switch {
	case d.relay != nil:
		n.cut(func(l *link) bool { return l.upper == d })
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

// cut closes the links that match.
func (n *network) cut(match func(*link) bool) {
	kept := n.links[:0]
	for _, l := range n.links {
		if !match(l) {
			kept = append(kept, l)
			continue
		}
		l.lower.sink.Disconnect()
		l.lower.link = nil
		n.source(l.upper).Disconnect(n.now, l.peer)
	}
	n.links = kept
}

func (n *network) source(d *daemon) *Source {
	if d == nil {
		return n.root.Source
	}
	return d.relay.Source()
}

func (n *network) connect(d *daemon) {
	n.cut(func(l *link) bool { return l.lower == d })
	n.serial++
	d.link = &link{peer: PeerID(n.serial), lower: d}
	if len(d.uppers) > 0 {
		d.link.upper = n.relays[d.uppers[n.rand.IntN(len(d.uppers))]]
	}
	n.links = append(n.links, d.link)
	if d.relay != nil {
		n.take(d, d.relay.Connect(n.now, n.serial))
		return
	}
	n.take(d, RelayOutput{Output: d.sink.Connect(n.now, n.serial)})
}

func (n *network) take(d *daemon, out RelayOutput) {
	if d.link != nil {
		d.link.up = append(d.link.up, out.Messages...)
	}
	n.deliver(out.Deliveries)
	for _, it := range out.Applied {
		if d.known == nil {
			break
		}
		old, seen := d.known[it.Key]
		if fell := old.Newer(it.Version); fell && seen {
			n.t.Fatalf("%s: %s fell from %v to %v at %v", d.name, it.Key, old, it.Version, n.now)
		}
		d.known[it.Key] = it.Version
	}
	if out.RetryAfter > 0 {
		n.cut(func(l *link) bool { return l.lower == d })
	}
}

func (n *network) deliver(all []Delivery) {
	for _, m := range all {
		for _, l := range n.links {
			if l.peer == m.Peer {
				l.down = append(l.down, m.Message)
			}
		}
	}
}

// pass delivers one message of a link; faults lets it be lost, doubled and
// overtaken.
func (n *network) pass(l *link, faults bool) {
	if len(l.up) > 0 && (len(l.down) == 0 || n.rand.IntN(2) == 0) {
		m := pick(n, &l.up, faults)
		if m == nil {
			return
		}
		if l.upper == nil {
			n.deliver(n.root.Receive(n.now, l.peer, *m))
			return
		}
		n.take(l.upper, l.upper.relay.ReceiveFromSubscriber(n.now, l.peer, *m))
		return
	}
	if len(l.down) == 0 {
		return
	}
	m := pick(n, &l.down, faults)
	switch {
	case m == nil:
	case l.lower.relay != nil:
		n.take(l.lower, l.lower.relay.ReceiveFromSource(n.now, *m))
	default:
		n.take(l.lower, RelayOutput{Output: l.lower.sink.Receive(n.now, *m)})
	}
}

func pick[M any](n *network, queue *[]M, faults bool) *M {
	i := 0
	if faults {
		i = n.rand.IntN(min(len(*queue), 4))
	}
	m := (*queue)[i]
	if faults && n.rand.IntN(12) == 0 {
		return &m // It stays in the queue and arrives again.
	}
	*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
	if faults && n.rand.IntN(12) == 0 {
		return nil
	}
	return &m
}

func (n *network) tick(step time.Duration) {
	n.now += step
	n.root.RecordConfirmation(n.now)
	n.deliver(n.root.Tick(n.now))
	for _, kv := range n.root.TakeNewerVersions() {
		n.publish(kv.Key)
	}
	for _, d := range n.all() {
		if d.link == nil || d.sink.SourceTimedOut(n.now) {
			n.connect(d)
		}
		if d.relay != nil {
			n.take(d, d.relay.Tick(n.now))
			continue
		}
		n.take(d, RelayOutput{Output: d.sink.Tick(n.now)})
	}
}

func (n *network) publish(key string) {
	it := Item{Key: key, Version: n.root.NextVersion(), Body: fmt.Append(nil, n.rand.Uint64())}
	if n.rand.IntN(5) == 0 {
		it.Body, it.Deleted = nil, true
	}
	if _, err := n.root.Publish(it); err != nil {
		n.t.Fatal(err)
	}
	if key[0] == 'k' {
		n.durable = append(n.durable, it)
	}
}

// lead starts a root over a store and publishes what the quorum has committed
// and the store lacks.
func (n *network) lead(store *Store, epoch uint64) {
	root, err := NewRoot(epoch, store, n.options())
	if err != nil {
		n.t.Fatal(err)
	}
	n.root = root
	for _, it := range n.durable {
		if held, ok := store.items[it.Key]; !ok || it.Version.Newer(held.item.Version) {
			if _, err := root.Publish(it); err != nil {
				n.t.Fatal(err)
			}
		}
	}
}

func (n *network) failOver() {
	store, epoch := n.standby.sink.Store(), n.root.epoch+1
	n.cut(func(l *link) bool { return l.upper == nil })
	if n.rand.IntN(4) == 0 {
		store = NewStore(StoreOptions{}) // Every replica but a new one was lost.
	}
	n.lead(store, epoch)
	n.restart(n.standby)
}

func (n *network) step() {
	switch p := n.rand.IntN(1000); {
	case p < 600 && len(n.links) > 0:
		n.pass(n.links[n.rand.IntN(len(n.links))], true)
	case p < 800:
		n.tick(time.Duration(n.rand.IntN(100)) * time.Millisecond)
	case p < 970:
		n.publish([]string{"key", "soft"}[n.rand.IntN(2)] + fmt.Sprint("-", n.rand.IntN(20)))
	case p < 980:
		n.restart(n.leaves[n.rand.IntN(len(n.leaves))])
	case p < 986:
		n.restart(n.relays[n.rand.IntN(len(n.relays))])
	case p < 996:
		n.connect(n.all()[n.rand.IntN(len(n.all()))])
	default:
		n.failOver()
	}
}

// settle lets everything arrive.
func (n *network) settle() {
	for range 400 {
		n.tick(50 * time.Millisecond)
		for _, l := range n.links {
			for range 20 {
				n.pass(l, false)
			}
		}
	}
}

func (n *network) checkConverged() {
	for _, d := range n.leaves {
		if d.sink.Applied() != n.root.Store().Position() && d.sink.opts.Keys == nil {
			n.t.Fatalf("%s has %v in force, root is at %v", d.name, d.sink.Applied(), n.root.Store().Position())
		}
		for _, it := range n.root.Store().Items() {
			held, ok := d.sink.Store().items[it.Key]
			if sub := d.sink.opts.Keys; sub != nil && !contains(sub, it.Key) {
				continue
			}
			if !ok || held.item.Version != it.Version || held.hash != it.hash() {
				n.t.Fatalf("%s lacks %s at %v", d.name, it.Key, it.Version)
			}
		}
		if d.sink.opts.Keys == nil && d.sink.Store().Digest() != n.root.Store().Digest() {
			n.t.Fatalf("%s has another digest than the root", d.name)
		}
	}
	if p := n.root.Progress(n.durablePosition()); p.Applied != p.Total || p.Total != len(n.leaves)+1 {
		n.t.Fatalf("progress is %+v", p)
	}
}

// durablePosition is where the newest durable item was last published.
func (n *network) durablePosition() Position {
	p := Position{Epoch: n.root.epoch}
	for _, it := range n.durable {
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

func TestSchedules(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := newNetwork(t, seed)
			for range 1500 {
				n.step()
			}
			n.settle()
			n.checkConverged()
		})
	}
}
