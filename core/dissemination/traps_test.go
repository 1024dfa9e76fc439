package dissemination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// pair is a root and one sink without faults between them.
type pair struct {
	t    *testing.T
	now  time.Duration
	root *Root
	sink *Sink
	// adopted is what the sink put in force, in order.
	adopted []Item
	session uint64
}

func newPair(t *testing.T, opts SinkOptions) *pair {
	t.Helper()
	p := &pair{t: t, now: time.Second}
	p.lead(NewStore(StoreOptions{MaxTombstones: 4}), 1)
	opts.DaemonID = "daemon"
	p.sink = NewSink(p.now, NewStore(StoreOptions{}), opts)
	return p
}

func testSource() SourceOptions {
	return SourceOptions{MaxBatchBytes: 200, Rand: rand.New(rand.NewPCG(1, 1))}
}

func (p *pair) lead(store *Store, epoch uint64) {
	p.t.Helper()
	root, err := NewRoot(epoch, store, testSource())
	is.New(p.t).NoErr(err)
	p.root = root
}

func (p *pair) publish(key, body string) Item {
	p.t.Helper()
	it := Item{Key: key, Version: p.root.NextVersion(), Body: []byte(body), Deleted: body == ""}
	_, err := p.root.Publish(it)
	is.New(p.t).NoErr(err)
	return it
}

func (p *pair) connect() {
	p.session++
	p.send(p.sink.Connect(p.now, p.session))
}

// send delivers messages to the root, and what follows from them, in order.
func (p *pair) send(out Output) {
	for queue := p.take(out); len(queue) > 0; queue = queue[1:] {
		for _, d := range p.root.Receive(p.now, 1, queue[0]) {
			queue = append(queue, p.take(p.sink.Receive(p.now, d.Message))...)
		}
	}
}

func (p *pair) take(out Output) []UpstreamMessage {
	p.adopted = append(p.adopted, out.Applied...)
	return out.Messages
}

func (p *pair) receive(all []Delivery) {
	for _, d := range all {
		p.send(p.sink.Receive(p.now, d.Message))
	}
}

// run lets some ticks pass; the root is confirmed by its quorum meanwhile.
func (p *pair) run() {
	for range 30 {
		p.now += 100 * time.Millisecond
		p.root.RecordConfirmation(p.now)
		p.receive(p.root.Tick(p.now))
		p.send(p.sink.Tick(p.now))
	}
}

// copyStore returns a store filled from p's root, as a follower has it.
func (p *pair) copyStore() *Store {
	f := newPair(p.t, SinkOptions{})
	f.root = p.root
	f.sink.store.opts.MaxTombstones = 4
	f.connect()
	f.run()
	p.root.remove(1)
	return f.sink.Store()
}

func TestTraps(t *testing.T) {
	traps := []struct {
		name string
		run  func(is *is.I, p *pair)
	}{
		{"a cut-off root cannot bring a restarted daemon up", func(is *is.I, p *pair) {
			p.publish("a", "1")
			p.root.RecordConfirmation(0) // Before the daemon started.
			p.connect()
			p.receive(p.root.Tick(p.now))
			p.now += 5 * time.Second
			p.send(p.sink.Tick(p.now))
			is.Equal(p.sink.Store().Len(), 1)
			is.Equal(len(p.adopted), 0)
			is.True(!p.sink.HasSynced())
		}},
		{"without control, what is in force stays", func(is *is.I, p *pair) {
			p.publish("a", "1")
			p.connect()
			p.run()
			at := p.sink.Applied()
			p.sink.Disconnect()
			p.sink.Tick(p.now + time.Hour)
			is.Equal(p.sink.Applied(), at)
			is.True(p.sink.HasSynced())
		}},
		{"a lagging source takes nothing back", func(is *is.I, p *pair) {
			p.publish("a", "1")
			lagging := p.copyStore()
			newest := p.publish("a", "2")
			p.connect()
			p.run()
			p.root = &Root{Source: NewSource(lagging, testSource()), epoch: 1}
			p.connect()
			p.run()
			is.Equal(p.adopted, []Item{newest})
		}},
		{"a lost batch is noticed and sent again", func(is *is.I, p *pair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			is.Equal(len(p.root.Tick(p.now)), 1) // Lost.
			b := p.publish("b", "1")
			next := p.root.Tick(p.now)
			is.Equal(len(p.sink.Receive(p.now, next[0].Message).Applied), 0) // A gap.
			p.run()
			is.Equal(len(p.adopted), 2)
			is.Equal(p.adopted[1], b)
		}},
		{"a duplicate is acknowledged and adopted once", func(is *is.I, p *pair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			d := p.root.Tick(p.now)
			is.Equal(len(p.sink.Receive(p.now, d[0].Message).Applied), 1)
			again := p.sink.Receive(p.now, d[0].Message)
			is.Equal(len(again.Applied), 0)
			is.Equal(again.Messages[0].Ack.Received, p.root.Store().Position())
		}},
		{"a message of an earlier session is ignored", func(is *is.I, p *pair) {
			p.connect()
			p.run()
			p.publish("a", "1")
			d := p.root.Tick(p.now)
			p.sink.Connect(p.now, 99)
			is.Equal(len(p.sink.Receive(p.now, d[0].Message).Messages), 0)
		}},
		{"five hundred missed changes of one key travel as one", func(is *is.I, p *pair) {
			p.connect()
			p.run()
			p.root.Disconnect(p.now, 1)
			for i := range 500 {
				p.publish("a", fmt.Sprint(i))
			}
			p.adopted = nil
			p.connect()
			p.run()
			is.Equal(len(p.adopted), 1)
			is.Equal(string(p.adopted[0].Body), "499")
		}},
		{"a deletion too old to be remembered still takes effect", func(is *is.I, p *pair) {
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
			is.Equal(p.adopted[len(p.adopted)-1], Item{Key: "old", Version: Position{Epoch: 1, Number: 1}, Deleted: true})
		}},
		{"a whole-state transfer cut in the middle starts again", func(is *is.I, p *pair) {
			for i := range 40 {
				p.publish(fmt.Sprint("key-", i), "0123456789")
			}
			p.connect()
			p.run()
			p.root = nil
			p.lead(NewStore(StoreOptions{}), 2) // Every replica was replaced.
			for i := range 30 {
				p.publish(fmt.Sprint("key-", i), "abc")
			}
			out := p.sink.Connect(p.now, 50)
			first := p.root.Receive(p.now, 1, out.Messages[0])
			p.sink.Receive(p.now, first[0].Message)
			is.True(p.sink.Store().rebuilding)
			p.session = 50
			p.connect()
			p.run()
			is.Equal(p.sink.Store().Digest(), p.root.Store().Digest())
			is.Equal(p.sink.Applied(), p.root.Store().Position())
		}},
		{"a change that the next root never saw is found and outbid", func(is *is.I, p *pair) {
			p.publish("a", "1")
			follower := p.copyStore()
			unseen := p.publish("a", "2")
			p.connect()
			p.run()
			p.lead(follower, 2)
			p.connect()
			p.run()
			is.Equal(p.root.TakeNewerVersions(), []KeyVersion{{Key: "a", Version: unseen.Version}})
			outbid := p.publish("a", "3")
			p.run()
			is.Equal(p.adopted[len(p.adopted)-1], outbid)
			is.Equal(p.sink.Store().Digest(), p.root.Store().Digest())
		}},
		{"a damaged body is found and repaired", func(is *is.I, p *pair) {
			p.publish("b", "1")
			it := p.publish("a", "1")
			p.connect()
			p.run()
			e := p.sink.Store().items["a"]
			p.sink.Store().set(e, Change{Number: e.number, Item: Item{Key: "a", Version: it.Version, Body: []byte("x")}})
			p.run()
			is.Equal(p.sink.Store().items["a"].item, it)
		}},
		{"a key that the source lacks is removed", func(is *is.I, p *pair) {
			p.publish("a", "1")
			p.connect()
			p.run()
			p.sink.Store().put(Change{Number: 1, Item: Item{Key: "stray", Version: Position{Epoch: 1, Number: 1}}})
			p.run()
			is.Equal(p.sink.Store().Len(), 1)
		}},
		{"only the keys asked for arrive", func(is *is.I, p *pair) {
			p.sink.opts.Keys = []string{"a", "c"}
			a := p.publish("a", "1")
			p.publish("b", "1")
			p.connect()
			p.run()
			p.publish("b", "2")
			p.run()
			is.Equal(p.adopted, []Item{a})
			is.Equal(p.sink.Applied(), p.root.Store().Position())
		}},
		{"a full source refuses", func(is *is.I, p *pair) {
			p.root.opts.MaxSubscribers = 0
			out := p.sink.Connect(p.now, 1)
			d := p.root.Receive(p.now, 1, out.Messages[0])
			retry := p.sink.Receive(p.now, d[0].Message).RetryAfter
			is.True(retry >= time.Second && retry < 3*time.Second)
		}},
		{"a silent subscriber is dropped and named", func(is *is.I, p *pair) {
			at := p.publish("a", "1").Version
			p.connect()
			p.root.Tick(p.now + 20*time.Second)
			is.Equal(p.root.SubscriberCount(), 0)
			is.Equal(p.root.Progress(at).Laggards, []Laggard{{ID: "daemon", Disconnected: true}})
		}},
		{"stale versions and epochs are refused", func(is *is.I, p *pair) {
			it := p.publish("a", "1")
			_, err := p.root.Publish(it)
			is.True(errorx.IsOfType(err, ErrStaleVersion))
			_, err = p.root.Publish(Item{Version: it.Version})
			is.True(errorx.IsOfType(err, ErrInvalidItem))
			_, err = NewRoot(1, p.root.Store(), testSource())
			is.True(errorx.IsOfType(err, ErrStaleEpoch))
		}},
	}
	for _, trap := range traps {
		t.Run(trap.name, func(t *testing.T) { trap.run(is.New(t), newPair(t, SinkOptions{})) })
	}
}

func TestCatchUpsWaitForTheirTurn(t *testing.T) {
	is := is.New(t)
	root, err := NewRoot(1, NewStore(StoreOptions{}), SourceOptions{MaxBatchBytes: 1, MaxCatchUps: 2, MaxInflightBatches: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	is.NoErr(err)
	for i := range 3 {
		_, err = root.Publish(Item{Key: fmt.Sprint(i), Version: root.NextVersion()})
		is.NoErr(err)
	}
	served := 0
	for peer := range PeerID(5) {
		served += len(root.Receive(0, peer, UpstreamMessage{Session: 1, Subscribe: &Subscribe{DaemonID: fmt.Sprint(peer)}}))
	}
	is.Equal(served, 2)
	root.Disconnect(0, 0)
	is.Equal(len(root.Tick(0)), 1)
}

func TestSummaryBehind(t *testing.T) {
	at := func(n uint64) Position { return Position{Epoch: 1, Number: n} }
	named := []Laggard{{ID: "a", Applied: at(3)}, {ID: "b", Applied: at(7)}}
	tests := []struct {
		name           string
		summary        *RelaySummary
		at             Position
		total, lagging int
	}{
		{"no summary yet", nil, at(5), 0, 0},
		{"all at the mark", &RelaySummary{Position: at(9), Total: 4}, at(5), 4, 0},
		{"mark is older", &RelaySummary{Position: at(4), Total: 4}, at(5), 4, 4},
		{"every laggard named", &RelaySummary{Position: at(9), Total: 4, LaggardCount: 2, Laggards: named}, at(5), 4, 1},
		{"names cut, one is past", &RelaySummary{Position: at(9), Total: 90, LaggardCount: 50, Laggards: named}, at(5), 90, 1},
		{"names cut, all behind", &RelaySummary{Position: at(9), Total: 90, LaggardCount: 50, Laggards: named}, at(8), 90, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			total, lagging, _ := tt.summary.behind(tt.at)
			is.Equal(total, tt.total)
			is.Equal(lagging, tt.lagging)
		})
	}
}

func TestReconnectsSpread(t *testing.T) {
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
	is.True(len(second) > 35) // A lost relay's daemons go to nearly all others.
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	is := is.New(t)
	b := NewBackoff(BackoffOptions{InitialRange: time.Second, MaxRange: 8 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range 100 {
		d := b.Next(time.Second)
		is.True(d >= time.Second && d <= time.Second+min(time.Second<<min(i, 10), 8*time.Second))
	}
	b.Reset()
	is.True(b.Next(0) <= time.Second)
}
