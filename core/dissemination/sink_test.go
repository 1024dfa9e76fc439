package dissemination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// testPair connects a root to one sink without faults.
type testPair struct {
	t    *testing.T
	now  time.Duration
	root *Root
	sink *Sink
	// applied lists the items that the sink applied, in order.
	applied []Item
	session uint64
}

func newPair(t *testing.T, opts SinkOptions) *testPair {
	t.Helper()
	p := &testPair{t: t, now: time.Second}
	p.startRoot(NewStore(StoreOptions{MaxTombstones: 4}), 1)
	opts.DaemonID = "daemon"
	p.sink = NewSink(p.now, NewStore(StoreOptions{}), opts)
	return p
}

func testSourceOptions() SourceOptions {
	return SourceOptions{MaxBatchBytes: 200, Rand: rand.New(rand.NewPCG(1, 1))}
}

func (p *testPair) startRoot(store *Store, epoch uint64) {
	p.t.Helper()
	root, err := NewRoot(epoch, store, testSourceOptions())
	is.New(p.t).NoErr(err)
	p.root = root
}

func (p *testPair) publish(key, body string) Item {
	p.t.Helper()
	it := Item{Key: key, Version: p.root.NextVersion(), Body: []byte(body), Deleted: body == ""}
	_, err := p.root.Publish(it)
	is.New(p.t).NoErr(err)
	return it
}

func (p *testPair) connect() {
	p.session++
	p.send(p.sink.Connect(p.now, p.session))
}

// send delivers messages to the root, and the replies of both sides, in order.
func (p *testPair) send(out Output) {
	for queue := p.recordApplied(out); len(queue) > 0; queue = queue[1:] {
		for _, d := range p.root.Receive(p.now, 1, queue[0]) {
			queue = append(queue, p.recordApplied(p.sink.Receive(p.now, d.Message))...)
		}
	}
}

func (p *testPair) recordApplied(out Output) []UpstreamMessage {
	p.applied = append(p.applied, out.Applied...)
	return out.Messages
}

func (p *testPair) receive(all []Delivery) {
	for _, d := range all {
		p.send(p.sink.Receive(p.now, d.Message))
	}
}

// run advances the time by 3 s, with a confirmation by the quorum at every tick.
func (p *testPair) run() {
	for range 30 {
		p.now += 100 * time.Millisecond
		p.root.RecordConfirmation(p.now)
		p.receive(p.root.Tick(p.now))
		p.send(p.sink.Tick(p.now))
	}
}

// replicateStore returns a follower's copy of the root's store.
func (p *testPair) replicateStore() *Store {
	f := newPair(p.t, SinkOptions{})
	f.root = p.root
	f.sink.store.opts.MaxTombstones = 4
	f.connect()
	f.run()
	p.root.removeSubscriber(1)
	return f.sink.Store()
}

func TestSinkAndRoot(t *testing.T) {
	tests := []struct {
		name string
		run  func(is *is.I, p *testPair)
	}{
		{"a root without quorum cannot confirm the state of a restarted daemon", func(is *is.I, p *testPair) {
			p.publish("a", "1")
			p.root.RecordConfirmation(0) // Before the start of the daemon.
			p.connect()
			p.receive(p.root.Tick(p.now))
			p.now += 5 * time.Second
			p.send(p.sink.Tick(p.now))
			is.Equal(p.sink.Store().Len(), 1)
			is.Equal(len(p.applied), 0)
			is.True(!p.sink.HasSynced())
		}},
		{"applied items stay applied without a connection", func(is *is.I, p *testPair) {
			p.publish("a", "1")
			p.connect()
			p.run()
			at := p.sink.Applied()
			p.sink.Disconnect()
			p.sink.Tick(p.now + time.Hour)
			is.Equal(p.sink.Applied(), at)
			is.True(p.sink.HasSynced())
		}},
		{"a lagging source reverts nothing", func(is *is.I, p *testPair) {
			p.publish("a", "1")
			lagging := p.replicateStore()
			newest := p.publish("a", "2")
			p.connect()
			p.run()
			p.root = &Root{Source: NewSource(lagging, testSourceOptions()), epoch: 1}
			p.connect()
			p.run()
			is.Equal(p.applied, []Item{newest})
		}},
		{"a lost batch is detected and sent again", func(is *is.I, p *testPair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			is.Equal(len(p.root.Tick(p.now)), 1) // Lost.
			b := p.publish("b", "1")
			next := p.root.Tick(p.now)
			is.Equal(len(p.sink.Receive(p.now, next[0].Message).Applied), 0) // A gap.
			p.run()
			is.Equal(len(p.applied), 2)
			is.Equal(p.applied[1], b)
		}},
		{"a duplicate is acknowledged but applied only once", func(is *is.I, p *testPair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			d := p.root.Tick(p.now)
			is.Equal(len(p.sink.Receive(p.now, d[0].Message).Applied), 1)
			again := p.sink.Receive(p.now, d[0].Message)
			is.Equal(len(again.Applied), 0)
			is.Equal(again.Messages[0].Ack.Received, p.root.Store().Position())
		}},
		{"a message of an earlier session is ignored", func(is *is.I, p *testPair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			d := p.root.Tick(p.now)
			p.sink.Connect(p.now, 99)
			is.Equal(len(p.sink.Receive(p.now, d[0].Message).Messages), 0)
		}},
		{"five hundred missed changes of one key are sent as one", func(is *is.I, p *testPair) {
			p.connect()
			p.run()
			p.root.Disconnect(p.now, 1)
			for i := range 500 {
				p.publish("a", fmt.Sprint(i))
			}
			p.applied = nil
			p.connect()
			p.run()
			is.Equal(len(p.applied), 1)
			is.Equal(string(p.applied[0].Body), "499")
		}},
		{"a pruned deletion takes effect by a full transfer", func(is *is.I, p *testPair) {
			p.publish("old", "1")
			p.connect()
			p.run()
			p.root.Disconnect(p.now, 1)
			p.publish("old", "")
			for i := range 20 {
				p.publish(fmt.Sprint(i), "x")
				p.publish(fmt.Sprint(i), "")
			}
			p.publish("new", "1")
			p.connect()
			p.run()
			is.Equal(p.sink.Store().Len(), 1)
			is.Equal(p.applied[len(p.applied)-1], Item{Key: "old", Version: Position{Epoch: 1, Number: 1}, Deleted: true})
		}},
		{"an interrupted full transfer is restarted", func(is *is.I, p *testPair) {
			for i := range 40 {
				p.publish(fmt.Sprint("key-", i), "0123456789")
			}
			p.connect()
			p.run()
			p.root = nil
			p.startRoot(NewStore(StoreOptions{}), 2) // All replicas were replaced.
			for i := range 30 {
				p.publish(fmt.Sprint("key-", i), "abc")
			}
			out := p.sink.Connect(p.now, 50)
			first := p.root.Receive(p.now, 1, out.Messages[0])
			p.sink.Receive(p.now, first[0].Message)
			is.True(p.sink.Store().inFullTransfer)
			p.session = 50
			p.connect()
			p.run()
			is.Equal(p.sink.Store().Digest(), p.root.Store().Digest())
			is.Equal(p.sink.Applied(), p.root.Store().Position())
		}},
		{"a change that the next root lacks is reported and superseded", func(is *is.I, p *testPair) {
			p.publish("a", "1")
			follower := p.replicateStore()
			lost := p.publish("a", "2")
			p.connect()
			p.run()
			p.startRoot(follower, 2)
			p.connect()
			p.run()
			is.Equal(p.root.TakeNewerVersions(), []KeyVersion{{Key: "a", Version: lost.Version}})
			superseding := p.publish("a", "3")
			p.run()
			is.Equal(p.applied[len(p.applied)-1], superseding)
			is.Equal(p.sink.Store().Digest(), p.root.Store().Digest())
		}},
		{"a corrupted body is detected and repaired", func(is *is.I, p *testPair) {
			p.publish("b", "1")
			it := p.publish("a", "1")
			p.connect()
			p.run()
			e := p.sink.Store().items["a"]
			p.sink.Store().replace(e, Change{Number: e.number, Item: Item{Key: "a", Version: it.Version, Body: []byte("x")}})
			p.run()
			is.Equal(p.sink.Store().items["a"].item, it)
		}},
		{"a key that the source lacks is removed", func(is *is.I, p *testPair) {
			p.publish("a", "1")
			p.connect()
			p.run()
			p.sink.Store().put(Change{Number: 1, Item: Item{Key: "stray", Version: Position{Epoch: 1, Number: 1}}})
			p.run()
			is.Equal(p.sink.Store().Len(), 1)
		}},
		{"only the subscribed keys are sent", func(is *is.I, p *testPair) {
			p.sink.opts.Keys = []string{"a", "c"}
			a := p.publish("a", "1")
			p.publish("b", "1")
			p.connect()
			p.run()
			p.publish("b", "2")
			p.run()
			is.Equal(p.applied, []Item{a})
			is.Equal(p.sink.Applied(), p.root.Store().Position())
		}},
		{"a source at its limit refuses subscribers", func(is *is.I, p *testPair) {
			p.root.opts.MaxSubscribers = 0
			out := p.sink.Connect(p.now, 1)
			d := p.root.Receive(p.now, 1, out.Messages[0])
			retry := p.sink.Receive(p.now, d[0].Message).RetryAfter
			is.True(retry >= time.Second && retry < 3*time.Second)
		}},
		{"a timed-out subscriber is disconnected and listed as laggard", func(is *is.I, p *testPair) {
			at := p.publish("a", "1").Version
			p.connect()
			p.root.Tick(p.now + 20*time.Second)
			is.Equal(p.root.SubscriberCount(), 0)
			is.Equal(p.root.Progress(at).Laggards, []Laggard{{ID: "daemon", Disconnected: true}})
		}},
		{"stale versions and epochs and invalid items are rejected", func(is *is.I, p *testPair) {
			it := p.publish("a", "1")
			_, err := p.root.Publish(it)
			is.True(errorx.IsOfType(err, ErrStaleVersion))
			_, err = p.root.Publish(Item{Version: it.Version})
			is.True(errorx.IsOfType(err, ErrInvalidItem))
			_, err = NewRoot(1, p.root.Store(), testSourceOptions())
			is.True(errorx.IsOfType(err, ErrStaleEpoch))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.run(is.New(t), newPair(t, SinkOptions{})) })
	}
}

func TestConcurrentCatchUpsAreLimited(t *testing.T) {
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{MaxBatchBytes: 1, MaxCatchUps: 2, MaxInflightBatches: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	for i := range 3 {
		_, err = root.Publish(Item{Key: fmt.Sprint(i), Version: root.NextVersion()})
		is.NoErr(err)
	}
	batchCount := 0
	for peer := range PeerID(5) {
		batchCount += len(root.Receive(0, peer, UpstreamMessage{Session: 1, Subscribe: &Subscribe{DaemonID: fmt.Sprint(peer)}}))
	}
	is.Equal(batchCount, 2)
	root.Disconnect(0, 0)
	is.Equal(len(root.Tick(0)), 1)
}

func TestRelaySummaryLaggardsAt(t *testing.T) {
	at := func(n uint64) Position { return Position{Epoch: 1, Number: n} }
	listed := []Laggard{{ID: "a", Applied: at(3)}, {ID: "b", Applied: at(7)}}
	tests := []struct {
		name           string
		summary        *RelaySummary
		at             Position
		total, lagging int
	}{
		{"no summary yet", nil, at(5), 0, 0},
		{"all have applied the position", &RelaySummary{Position: at(9), Total: 4}, at(5), 4, 0},
		{"the summary's position is older", &RelaySummary{Position: at(4), Total: 4}, at(5), 4, 4},
		{"every laggard is listed", &RelaySummary{Position: at(9), Total: 4, LaggardCount: 2, Laggards: listed}, at(5), 4, 1},
		{"some laggards are listed, one has applied the position", &RelaySummary{Position: at(9), Total: 90, LaggardCount: 50, Laggards: listed}, at(5), 90, 1},
		{"some laggards are listed, all are behind", &RelaySummary{Position: at(9), Total: 90, LaggardCount: 50, Laggards: listed}, at(8), 90, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			total, lagging, _ := tt.summary.laggardsAt(tt.at)
			is.Equal(total, tt.total)
			is.Equal(lagging, tt.lagging)
		})
	}
}

func TestRelayOrderDistributesDaemons(t *testing.T) {
	is := is.New(t)
	relays := make([]string, 42)
	for i := range relays {
		relays[i] = fmt.Sprint("relay-", i)
	}
	first, second := map[string]int{}, map[string]int{}
	for i := range 13000 {
		order := RelayOrder(fmt.Sprint("daemon-", i), relays)
		first[order[0]]++
		if order[0] == relays[0] {
			second[order[1]]++
		}
	}
	for _, n := range first {
		is.True(n > 200 && n < 450) // 310 on average.
	}
	is.True(len(second) > 35) // A failed relay's daemons connect to nearly all others.
}

func TestBackoffDelayIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewBackoff(BackoffOptions{BaseDelay: time.Second, MaxDelay: 8 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range 100 {
		d := b.Next(time.Second)
		is.True(d >= time.Second && d <= time.Second+min(time.Second<<min(i, 10), 8*time.Second))
	}
	b.Reset()
	is.True(b.Next(0) <= time.Second)
}
