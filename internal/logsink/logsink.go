// Package logsink writes log lines to a stream without ever making the process
// wait for it. Lines beyond a bound are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered is the room for lines that wait, in bytes.
	maxBuffered = 256 << 10
	// flushEvery is how long a line waits at most before it is written.
	flushEvery = 50 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	wake    chan struct{}
	writing sync.Mutex

	mu      sync.Mutex
	lines   []byte
	dropped int
}

// New returns a Sink that writes to out until the process ends.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write queues one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines)+len(line) > maxBuffered {
		s.dropped++
		return len(line), nil
	}
	s.lines = append(s.lines, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// LeaveOut counts a line that is left out before it reaches the sink.
func (s *Sink) LeaveOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// Sync writes what is queued.
func (s *Sink) Sync() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	lines, dropped := s.lines, s.dropped
	s.lines, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"Dropped log lines.\",\"lines\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := s.out.Write(lines)
	return err
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(flushEvery)
		_ = s.Sync() // a stream that takes no lines leaves nowhere to say so
	}
}
