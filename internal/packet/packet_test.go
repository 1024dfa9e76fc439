package packet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

type testRing struct {
	active uint8
	keys   map[uint8][]byte
}

func (r *testRing) Active() (uint8, []byte) { return r.active, r.keys[r.active] }

func (r *testRing) Secret(id uint8) ([]byte, bool) {
	k, ok := r.keys[id]
	return k, ok
}

func newRing() *testRing {
	return &testRing{active: 1, keys: map[uint8][]byte{1: make([]byte, 32)}}
}

var testTime = time.Unix(0, 0)

func fixedClock() time.Time { return testTime }

func header() Header {
	return Header{
		Kind: Forward,
		Flow: flow.Packet{
			Hops: 3, Service: 7, TargetIncarnation: 11, EarlierPicksComplete: true,
			Ballot: flow.Ballot{Version: view.Version{Epoch: 2, Number: 9}},
			Tuple: flow.Tuple{
				Caller:  netip.MustParseAddrPort("127.0.0.9:4000"),
				Service: netip.MustParseAddrPort("127.0.1.1:443"),
			},
		},
		ReplyTo: netip.MustParseAddrPort("127.0.0.2:7000"),
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	peer := func(i int) flow.Peer {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7001)
		return flow.Peer{Seed: uint64(i) << 40, Incarnation: view.Incarnation(i), Addr: addr}
	}
	minimal, earlierPick, allFields := header(), header(), header()
	earlierPick.Flow.EarlierPicks[0] = peer(3)
	allFields.Flow.Kind, allFields.Flow.PointerRequested, allFields.Flow.Ballot.Retake = flow.Assign, true, true
	allFields.Flow.Home, allFields.Flow.SupersededHome = peer(4), peer(5)
	for i := range allFields.Flow.EarlierPicks {
		allFields.Flow.EarlierPicks[i] = peer(10 + i)
	}
	for i := range allFields.Flow.NonOwners {
		allFields.Flow.NonOwners[i] = uint64(i + 1)
	}
	allFields.Flow.NonOwnerCount = flow.MaxNonOwners
	ipv6 := allFields
	ipv6.Flow.Tuple.Caller = netip.MustParseAddrPort("[2001:db8::1]:4000")
	for name, h := range map[string]Header{"no optional field": minimal, "an earlier pick": earlierPick, "every IPv4 field": allFields, "IPv6": ipv6} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keys := newRing()
			b, err := NewSealer(keys, 42).Seal(nil, &h, []byte("payload"))
			is.NoErr(err)
			is.True(len(b) <= len("payload")+MaxOverhead)
			var got Header
			payload, err := NewOpener(keys, fixedClock).Open(b, &got)
			is.NoErr(err)
			is.Equal(string(payload), "payload")
			is.Equal(got, h)
		})
	}
}

// QUIC requires a path for datagrams of 1200 bytes; an envelope for an MTU of 1500
// must have room for them.
func TestMaxPayloadFitsMinimumQUICDatagram(t *testing.T) {
	is := is.New(t)
	const quicDatagram = 1200
	h := header()
	is.True(h.MaxPayload(1500) >= quicDatagram)
	h.Flow.Tuple.Caller = netip.MustParseAddrPort("[2001:db8::1]:4000")
	is.True(h.MaxPayload(1500) >= quicDatagram)
}

// Relayed envelopes would grow with every hop if they carried earlier picks that
// are already listed as non-owners.
func TestNonOwnersAreOmittedFromEarlierPicks(t *testing.T) {
	is := is.New(t)
	h := header()
	h.Flow.EarlierPicks = flow.EarlierPicks{{Seed: 1, Incarnation: 1}, {Seed: 2, Incarnation: 1}}
	h.Flow.NonOwners[0], h.Flow.NonOwnerCount = 1, 1
	b := h.append(nil, 1, 1, 1)
	var got Header
	is.True(got.parse(b) == len(b))
	is.Equal(got.Flow.EarlierPicks[0].Seed, uint64(2))
	is.True(got.Flow.EarlierPicks[1].IsZero())
}

func TestOpenRejectsInvalidEnvelopes(t *testing.T) {
	keys := newRing()
	h := header()
	sealed, err := NewSealer(keys, 42).Seal(nil, &h, []byte("payload"))
	if err != nil {
		t.Fatal(err)
	}
	flip := func(i int) []byte {
		b := append([]byte(nil), sealed...)
		b[i] ^= 1
		return b
	}
	other := &testRing{active: 2, keys: map[uint8][]byte{2: make([]byte, 32)}}
	cases := []struct {
		name string
		keys KeyRing
		data []byte
		want error
	}{
		{"empty", keys, nil, ErrMalformed},
		{"not an envelope", keys, []byte("GET / HTTP/1.1"), ErrMalformed},
		{"truncated header", keys, sealed[:fixedSize+3], ErrMalformed},
		{"truncated tag", keys, sealed[:len(sealed)-1], ErrForged},
		{"modified service", keys, flip(23), ErrForged},
		{"modified payload", keys, flip(len(sealed) - TagSize - 1), ErrForged},
		{"modified session", keys, flip(sessionOffset), ErrForged},
		{"modified sequence", keys, flip(sequenceOffset + 7), ErrForged},
		{"key ID not in the ring", other, sealed, ErrUnknownKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got Header
			_, err := NewOpener(c.keys, fixedClock).Open(c.data, &got)
			is.Equal(err, c.want)
		})
	}
}

func TestOpenRejectsReplayedAndAcceptsReorderedEnvelopes(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, o, h := NewSealer(keys, 42), NewOpener(keys, fixedClock), header()
	var sealed [][]byte
	for range 3 {
		b, err := s.Seal(nil, &h, nil)
		is.NoErr(err)
		sealed = append(sealed, b)
	}
	for _, i := range []int{2, 0, 1} {
		_, err := o.Open(sealed[i], &h)
		is.NoErr(err)
		_, err = o.Open(sealed[i], &h)
		is.Equal(err, ErrReplayed)
	}
}

func TestImportedSessionsRejectReplayedEnvelopes(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, predecessor, h := NewSealer(keys, 42), NewOpener(keys, fixedClock), header()
	var sealed [][]byte
	for range 3 {
		b, err := s.Seal(nil, &h, nil)
		is.NoErr(err)
		sealed = append(sealed, b)
	}
	for _, i := range []int{0, 2} {
		_, err := predecessor.Open(sealed[i], &h)
		is.NoErr(err)
	}
	successor := NewOpener(keys, fixedClock)
	is.NoErr(successor.Import(append(predecessor.Export(), SessionState{ID: 1, KeyID: 9})))
	for i, want := range []error{ErrReplayed, nil, ErrReplayed} {
		_, err := successor.Open(sealed[i], &h)
		is.Equal(err, want)
	}
}

func TestEnvelopesOfOldKeyOpenUntilItIsRemoved(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, o, h := NewSealer(keys, 42), NewOpener(keys, fixedClock), header()
	sealedOld, err := s.Seal(nil, &h, nil)
	is.NoErr(err)
	keys.keys[2], keys.active = []byte("another secret of 32 bytes......"), 2
	sealedNew, err := s.Seal(nil, &h, nil)
	is.NoErr(err)
	is.Equal(sealedNew[3], uint8(2))
	_, err = o.Open(sealedOld, &h)
	is.NoErr(err)
	_, err = o.Open(sealedNew, &h)
	is.NoErr(err)
	delete(keys.keys, 1)
	_, err = o.Open(sealedOld, &h)
	is.Equal(err, ErrUnknownKey)
}

// A successor of a process that used a key does not use it after its removal.
func TestRemovedKeyStaysRemovedAfterRestart(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, predecessor, h := NewSealer(keys, 42), NewOpener(keys, fixedClock), header()
	sealed, err := s.Seal(nil, &h, nil)
	is.NoErr(err)
	_, err = predecessor.Open(sealed, &h)
	is.NoErr(err)
	sealed, err = s.Seal(nil, &h, nil)
	is.NoErr(err)
	delete(keys.keys, 1)
	successor := NewOpener(keys, fixedClock)
	_ = successor.Import(predecessor.Export())
	_, err = successor.Open(sealed, &h)
	is.Equal(err, ErrUnknownKey)
}

func TestReplayWindow(t *testing.T) {
	is := is.New(t)
	var w window
	is.True(!w.accept(0))
	is.True(w.accept(10))
	is.True(w.accept(3))
	is.True(!w.accept(3))
	is.True(w.accept(10 + windowBits))
	is.True(!w.accept(10))
	is.True(w.accept(11))
	is.True(w.accept(11 + 3*windowBits))
	is.True(!w.accept(11))
	is.True(w.accept(12 + 2*windowBits))
}

func FuzzOpen(f *testing.F) {
	h := header()
	b, err := NewSealer(newRing(), 42).Seal(nil, &h, []byte("payload"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		var got Header
		payload, err := NewOpener(newRing(), fixedClock).Open(data, &got)
		if err == nil && string(payload) != "payload" {
			t.Fatalf("Open accepted an envelope that was never sealed; payload %q", payload)
		}
	})
}

func BenchmarkSealOpen(b *testing.B) {
	keys, h := newRing(), header()
	s, o := NewSealer(keys, 42), NewOpener(keys, time.Now)
	payload, buf := make([]byte, 1250), make([]byte, 0, 1500)
	b.ReportAllocs()
	for b.Loop() {
		sealed, err := s.Seal(buf, &h, payload)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := o.Open(sealed, &h); err != nil {
			b.Fatal(err)
		}
	}
}
