package agent

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/core/view"
)

// wholeSeconds encodes a state as builds did that saved its time in seconds.
func wholeSeconds(t *testing.T, s handoverState) []byte {
	t.Helper()
	data, err := cbor.Marshal(s)
	is.New(t).NoErr(err)
	return data
}

func withNanoseconds(t *testing.T, s handoverState) []byte {
	t.Helper()
	data, err := s.encode()
	is.New(t).NoErr(err)
	return data
}

// A state is used if its age is at most maxStateAge, whenever in a second it was
// saved. Where only the second is known, its latest packet proves how recent it is.
func TestHandoverStateIsUsedUpToItsMaximumAge(t *testing.T) {
	second := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		name   string
		encode func(*testing.T, handoverState) []byte
		saved  time.Duration // after second
		seen   time.Duration // after second, of the latest packet; 0 is none
		loaded time.Duration // after second
		used   bool
	}{
		{"saved late in a second", withNanoseconds, 990 * time.Millisecond, 0, 1010 * time.Millisecond, true},
		{"at the maximum age", withNanoseconds, 990 * time.Millisecond, 0, 1990 * time.Millisecond, true},
		{"beyond the maximum age", withNanoseconds, 990 * time.Millisecond, 0, 1991 * time.Millisecond, false},
		{"from the future", withNanoseconds, 990 * time.Millisecond, 0, 980 * time.Millisecond, false},
		{"a packet does not make a known time later", withNanoseconds, time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, false},
		{"whole second, within it", wholeSeconds, 990 * time.Millisecond, 0, time.Second, true},
		{"whole second, recent by its latest packet", wholeSeconds, 990 * time.Millisecond, 980 * time.Millisecond, 1010 * time.Millisecond, true},
		{"whole second, too old by its latest packet", wholeSeconds, 990 * time.Millisecond, 100 * time.Millisecond, 1110 * time.Millisecond, false},
		{"whole second, age not provable", wholeSeconds, 990 * time.Millisecond, 0, 1010 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := handoverState{At: second.Add(tt.saved), ID: "a", View: &view.View{}}
			if tt.seen != 0 {
				caller := netip.MustParseAddrPort("127.0.0.1:4000")
				s.Sockets = []flowSocketState{{Caller: caller, Seen: second.Add(tt.seen).UnixNano()}}
			}
			path := filepath.Join(t.TempDir(), "state")
			is.NoErr(os.WriteFile(path, tt.encode(t, s), stateFileMode))
			loaded := loadHandoverState(Options{
				ID: "a", HandoverPath: path, Log: zap.NewNop(),
				Now: func() time.Time { return second.Add(tt.loaded) },
			})
			is.Equal(loaded != nil, tt.used)
			_, err := os.Stat(path)
			is.True(os.IsNotExist(err)) // never used twice
		})
	}
}
