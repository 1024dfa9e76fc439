package replicalink

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
)

const patience = 20 * time.Second

// end is one replica's link with its server.
type end struct {
	link *Link
	addr netip.AddrPort
	got  chan []quorum.Message
}

func newEnd(t *testing.T, set *keys.Set, id quorum.ReplicaID, role keys.Role) *end {
	t.Helper()
	identity, err := set.Identity(id.String(), time.Now(), role)
	if err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
	e := &end{got: make(chan []quorum.Message, 100)}
	options := Options{
		Self: quorum.Member{ID: id}, Pool: pool, Now: time.Now, Log: zap.NewNop(),
		Receive:  func(m []quorum.Message) { e.got <- m },
		Identity: func() Identity { return Identity{Member: quorum.Member{ID: id}, GroupName: "control"} },
	}
	var link *Link
	ready := make(chan struct{}) // the link needs the server's address
	server, err := peer.Listen(peer.ServerOptions{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop(),
		TLS: identity.ServerTLSFor([]keys.Role{keys.Control, keys.Agent}, peer.Protocol),
		Handlers: map[string]peer.Handler{
			KindMessages: func(ctx context.Context, from keys.Info, s *peer.Stream) {
				<-ready
				link.HandleMessages(ctx, from, s)
			},
			KindIdentify: func(ctx context.Context, from keys.Info, s *peer.Stream) {
				<-ready
				link.HandleIdentify(ctx, from, s)
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.addr = server.Addr()
	options.Self.Address = e.addr.String()
	link = New(options)
	close(ready)
	e.link = link
	t.Cleanup(func() {
		link.Close()
		_ = server.Close()
		pool.Close()
	})
	return e
}

func (e *end) receive(t *testing.T) []quorum.Message {
	t.Helper()
	select {
	case m := <-e.got:
		return m
	case <-time.After(patience):
		t.Fatal("nothing arrived")
		return nil
	}
}

func TestMessagesAndSnapshotsArrive(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a, b := newEnd(t, set, 1, keys.Control), newEnd(t, set, 2, keys.Control)
	state := bytes.Repeat([]byte("state"), maxPartBytes) // several parts
	large := quorum.Message{Type: quorum.MsgSnapshot, From: 1, To: 2, Snapshot: &quorum.Snapshot{Index: 9, Data: state}}
	a.link.Send(quorum.Member{ID: 2, Address: b.addr.String()}, []quorum.Message{large})
	got := b.receive(t)
	is.Equal(got[0].Snapshot.Index, uint64(9))
	is.True(bytes.Equal(got[0].Snapshot.Data, state))

	// The receiver answers by the address that it learnt.
	entry := quorum.Entry{Index: 3, Term: 2, Change: &quorum.ConfChange{Op: quorum.PromoteLearner, Member: quorum.Member{ID: 7}}}
	answer := quorum.Message{Type: quorum.MsgAppend, From: 2, To: 1, Entries: []quorum.Entry{entry}}
	b.link.Send(quorum.Member{ID: 1}, []quorum.Message{answer})
	is.Equal(a.receive(t), []quorum.Message{answer})

	identity, err := a.link.Identify(context.Background(), b.addr)
	is.NoErr(err)
	is.Equal(identity.Member.ID, quorum.ReplicaID(2))
	b.link.Send(quorum.Member{ID: 99}, []quorum.Message{answer}) // no route; dropped
}

// A replica that opens a stream can be reached, whatever was tried before: the
// clock stands still here, so no pause between attempts ever passes.
func TestReplicaThatIsGreetedIsTriedAtOnce(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a, b := newEnd(t, set, 1, keys.Control), newEnd(t, set, 2, keys.Control)
	stopped := time.Now()
	a.link.options.Now = func() time.Time { return stopped }
	s := a.link.sender(b.addr)
	out := &outgoing{failed: stopped, hello: s.nextHello()}
	is.True(!s.open(out, stopped)) // an attempt failed just now

	to := []quorum.Message{{Type: quorum.MsgPreVote, From: 2, To: 1}}
	b.link.Send(quorum.Member{ID: 1, Address: a.addr.String()}, to)
	is.Equal(a.receive(t), to)
	is.True(s.open(out, stopped))
	s.drop(out)
}

// An attempt that began before the replica was there is not waited for.
func TestGreetingOvertakesAnAttempt(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a := newEnd(t, set, 1, keys.Control)
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0") // takes packets and never answers
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	s := a.link.sender(netip.MustParseAddrPort(silent.LocalAddr().String()))
	hello := s.nextHello()
	ended := make(chan error, 1)
	go func() {
		_, err := s.attempt(hello, false)
		ended <- err
	}()
	a.link.greeted(2, s.addr)
	is.True(strings.Contains((<-ended).Error(), context.Canceled.Error())) // not its time limit
}

func TestOtherRolesAreRefused(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	agent, control := newEnd(t, set, 1, keys.Agent), newEnd(t, set, 2, keys.Control)
	_, err = agent.link.Identify(context.Background(), control.addr)
	is.True(err != nil)
}

// FuzzDecodeBatch expects that what decodes encodes to the same messages.
func FuzzDecodeBatch(f *testing.F) {
	seed, err := cbor.Marshal([]quorum.Message{{Type: quorum.MsgAppend, Entries: []quorum.Entry{{Index: 1}}}, {Snapshot: &quorum.Snapshot{}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		messages, err := decodeBatch(b)
		if err != nil {
			return
		}
		is := is.New(t)
		encoded, err := cbor.Marshal(messages)
		is.NoErr(err)
		again, err := decodeBatch(encoded)
		is.NoErr(err)
		is.Equal(len(again), len(messages))
		reencoded, err := cbor.Marshal(again)
		is.NoErr(err)
		is.True(bytes.Equal(encoded, reencoded))
	})
}
