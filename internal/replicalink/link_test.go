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

const receiveTimeout = 20 * time.Second

// testReplica is the link and the server of one replica.
type testReplica struct {
	link     *Link
	addr     netip.AddrPort
	received chan []quorum.Message
}

func newTestReplica(t *testing.T, set *keys.Set, id quorum.ReplicaID, role keys.Role) *testReplica {
	t.Helper()
	return newTestReplicaAt(t, set, id, role, time.Now)
}

// newTestReplicaAt returns a replica with a clock.
func newTestReplicaAt(t *testing.T, set *keys.Set, id quorum.ReplicaID, role keys.Role, now func() time.Time) *testReplica {
	t.Helper()
	identity, err := set.Identity(id.String(), time.Now(), role)
	if err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool(func() *tls.Config {
		return identity.ClientTLSFor("", []keys.Role{keys.Control}, peer.Protocol)
	})
	r := &testReplica{received: make(chan []quorum.Message, 100)}
	options := Options{
		Self: quorum.Member{ID: id}, Pool: pool, Now: now, Log: zap.NewNop(),
		Receive:  func(m []quorum.Message) { r.received <- m },
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
	r.addr = server.Addr()
	options.Self.Address = r.addr.String()
	link = New(options)
	close(ready)
	r.link = link
	t.Cleanup(func() {
		link.Close()
		_ = server.Close()
		pool.Close()
	})
	return r
}

func (r *testReplica) receive(t *testing.T) []quorum.Message {
	t.Helper()
	select {
	case m := <-r.received:
		return m
	case <-time.After(receiveTimeout):
		t.Fatal("no messages received in time")
		return nil
	}
}

func TestLinkDeliversMessagesAndSnapshots(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a, b := newTestReplica(t, set, 1, keys.Control), newTestReplica(t, set, 2, keys.Control)
	state := bytes.Repeat([]byte("state"), maxChunkBytes) // several chunks
	snapshot := quorum.Message{Type: quorum.MsgSnapshot, From: 1, To: 2, Snapshot: &quorum.Snapshot{Index: 9, Data: state}}
	a.link.Send(quorum.Member{ID: 2, Address: b.addr.String()}, []quorum.Message{snapshot})
	got := b.receive(t)
	is.Equal(got[0].Snapshot.Index, uint64(9))
	is.True(bytes.Equal(got[0].Snapshot.Data, state))

	// The receiver responds to the address in the Hello.
	entry := quorum.Entry{Index: 3, Term: 2, Change: &quorum.ConfChange{Op: quorum.PromoteLearner, Member: quorum.Member{ID: 7}}}
	response := quorum.Message{Type: quorum.MsgAppend, From: 2, To: 1, Entries: []quorum.Entry{entry}}
	b.link.Send(quorum.Member{ID: 1}, []quorum.Message{response})
	is.Equal(a.receive(t), []quorum.Message{response})

	identity, err := a.link.Identify(context.Background(), b.addr)
	is.NoErr(err)
	is.Equal(identity.Member.ID, quorum.ReplicaID(2))
	b.link.Send(quorum.Member{ID: 99}, []quorum.Message{response}) // dropped: the address is unknown
}

// A replica that opened a stream is reachable, so the retry delay after a failed
// attempt must not apply. The clock is stopped: the delay never elapses.
func TestHelloSkipsRetryDelay(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	now := time.Now()
	a, b := newTestReplicaAt(t, set, 1, keys.Control, func() time.Time { return now }), newTestReplica(t, set, 2, keys.Control)
	s := a.link.senderFor(b.addr)
	out := &outgoingStream{openFailedAt: now, nextHello: s.nextHello()}
	is.True(!s.ensureOpen(out, now)) // within the retry delay

	messages := []quorum.Message{{Type: quorum.MsgPreVote, From: 2, To: 1}}
	b.link.Send(quorum.Member{ID: 1, Address: a.addr.String()}, messages)
	is.Equal(a.receive(t), messages)
	is.True(s.ensureOpen(out, now))
	s.closeStream(out)
}

// An attempt to open a stream that began before the replica was reachable must not
// delay messages until openTimeout: a Hello from the replica cancels it.
func TestHelloCancelsPendingOpen(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	a := newTestReplica(t, set, 1, keys.Control)
	unresponsive, err := net.ListenPacket("udp4", "127.0.0.1:0") // receives packets and never responds
	is.NoErr(err)
	defer func() { _ = unresponsive.Close() }()
	s := a.link.senderFor(netip.MustParseAddrPort(unresponsive.LocalAddr().String()))
	hello := s.nextHello()
	errs := make(chan error, 1)
	go func() {
		_, err := s.openStream(hello, false)
		errs <- err
	}()
	a.link.recordHello(2, s.addr)
	is.True(strings.Contains((<-errs).Error(), context.Canceled.Error())) // rather than openTimeout
}

func TestNonControlRolesAreRejected(t *testing.T) {
	is := is.New(t)
	set, err := keys.Ephemeral(time.Now())
	is.NoErr(err)
	agent, control := newTestReplica(t, set, 1, keys.Agent), newTestReplica(t, set, 2, keys.Control)
	_, err = agent.link.Identify(context.Background(), control.addr)
	is.True(err != nil)
}

// FuzzDecodeBatch checks that messages that decode from arbitrary input survive a
// round trip: encoding and decoding them again yields the same encoding.
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
