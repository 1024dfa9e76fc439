package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// stuck is a stream that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	taken   bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken.Write(b)
}

func TestLinesThatAreLeftOutAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	s.LeaveOut()
	s.LeaveOut()
	is.NoErr(s.Sync())
	is.Equal(out.String(), "{\"level\":\"warn\",\"msg\":\"Dropped log lines.\",\"lines\":2}\n")
}

func TestStuckStreamHoldsNobodyUpAndLosesAreCounted(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBuffered / len(line) {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	close(out.release)
	is.NoErr(s.Sync())
	is.NoErr(s.Sync())
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.taken.String(), "Dropped log lines."))
	is.True(out.taken.Len() <= 2*maxBuffered+1024)
}
