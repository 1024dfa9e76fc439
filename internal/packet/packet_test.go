package packet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
)

type ring struct {
	active uint8
	keys   map[uint8][]byte
}

func (r *ring) Active() (uint8, []byte) { return r.active, r.keys[r.active] }

func (r *ring) Secret(id uint8) ([]byte, bool) {
	k, ok := r.keys[id]
	return k, ok
}

func newRing() *ring {
	return &ring{active: 1, keys: map[uint8][]byte{1: make([]byte, 32)}}
}

var epoch = time.Unix(0, 0)

func still() time.Time { return epoch }

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
	short, prior, full := header(), header(), header()
	prior.Flow.EarlierPicks[0] = peer(3)
	full.Flow.Kind, full.Flow.PointerRequested, full.Flow.Ballot.Retake = flow.Assign, true, true
	full.Flow.Home, full.Flow.SupersededHome = peer(4), peer(5)
	for i := range full.Flow.EarlierPicks {
		full.Flow.EarlierPicks[i] = peer(10 + i)
	}
	for i := range full.Flow.NonOwners {
		full.Flow.NonOwners[i] = uint64(i + 1)
	}
	full.Flow.NonOwnerCount = flow.MaxNonOwners
	wide := full
	wide.Flow.Tuple.Caller = netip.MustParseAddrPort("[2001:db8::1]:4000")
	for name, h := range map[string]Header{"short": short, "prior": prior, "full": full, "wide": wide} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keys := newRing()
			b, err := NewSealer(keys, 42).Seal(nil, &h, []byte("payload"))
			is.NoErr(err)
			is.True(len(b) <= len("payload")+MaxOverhead)
			var got Header
			payload, err := NewOpener(keys, still).Open(b, &got)
			is.NoErr(err)
			is.Equal(string(payload), "payload")
			is.Equal(got, h)
		})
	}
}

// TestMaxPayload checks that the smallest path a QUIC connection needs fits.
func TestMaxPayload(t *testing.T) {
	is := is.New(t)
	const quicDatagram = 1200
	h := header()
	is.True(h.MaxPayload(1500) >= quicDatagram)
	h.Flow.Tuple.Caller = netip.MustParseAddrPort("[2001:db8::1]:4000")
	is.True(h.MaxPayload(1500) >= quicDatagram)
}

// TestEarlierPicksThatHaveDeniedTravelNoFurther keeps relayed envelopes short.
func TestEarlierPicksThatHaveDeniedTravelNoFurther(t *testing.T) {
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

func TestOpenRefuses(t *testing.T) {
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
	other := &ring{active: 2, keys: map[uint8][]byte{2: make([]byte, 32)}}
	cases := []struct {
		name string
		keys Keys
		data []byte
		want error
	}{
		{"empty", keys, nil, ErrMalformed},
		{"not an envelope", keys, []byte("GET / HTTP/1.1"), ErrMalformed},
		{"cut in the header", keys, sealed[:fixedSize+3], ErrMalformed},
		{"cut in the tag", keys, sealed[:len(sealed)-1], ErrForged},
		{"changed service", keys, flip(23), ErrForged},
		{"changed payload", keys, flip(len(sealed) - TagSize - 1), ErrForged},
		{"changed session", keys, flip(sessionOffset), ErrForged},
		{"changed sequence", keys, flip(sequenceOffset + 7), ErrForged},
		{"key not in the ring", other, sealed, ErrUnknownKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got Header
			_, err := NewOpener(c.keys, still).Open(c.data, &got)
			is.Equal(err, c.want)
		})
	}
}

func TestReplayIsRefusedOnceAndReorderAccepted(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, o, h := NewSealer(keys, 42), NewOpener(keys, still), header()
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

func TestSuccessorRefusesWhatItsPredecessorReceived(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, before, h := NewSealer(keys, 42), NewOpener(keys, still), header()
	var sealed [][]byte
	for range 3 {
		b, err := s.Seal(nil, &h, nil)
		is.NoErr(err)
		sealed = append(sealed, b)
	}
	for _, i := range []int{0, 2} {
		_, err := before.Open(sealed[i], &h)
		is.NoErr(err)
	}
	after := NewOpener(keys, still)
	is.NoErr(after.Import(append(before.Export(), Session{Session: 1, Key: 9})))
	for i, want := range []error{ErrReplayed, nil, ErrReplayed} {
		_, err := after.Open(sealed[i], &h)
		is.Equal(err, want)
	}
}

func TestRotationKeepsOldEnvelopesUntilTheKeyLeaves(t *testing.T) {
	is := is.New(t)
	keys := newRing()
	s, o, h := NewSealer(keys, 42), NewOpener(keys, still), header()
	old, err := s.Seal(nil, &h, nil)
	is.NoErr(err)
	keys.keys[2], keys.active = []byte("another secret of 32 bytes......"), 2
	fresh, err := s.Seal(nil, &h, nil)
	is.NoErr(err)
	is.Equal(fresh[3], uint8(2))
	_, err = o.Open(old, &h)
	is.NoErr(err)
	_, err = o.Open(fresh, &h)
	is.NoErr(err)
	delete(keys.keys, 1)
	_, err = o.Open(old, &h)
	is.Equal(err, ErrUnknownKey)
}

func TestWindow(t *testing.T) {
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
		payload, err := NewOpener(newRing(), still).Open(data, &got)
		if err == nil && string(payload) != "payload" {
			t.Fatalf("an envelope that was never sealed opened to %q", payload)
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
