package standin

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"
)

// SessionOptions configures a Session.
type SessionOptions struct {
	// ID names the session to the backend servers; keep it unique in a test.
	ID uint64
	// Targets are the balancers' addresses; messages go to them in turn.
	Targets []netip.AddrPort
	// Local is a loopback address; the zero value takes a free port.
	Local netip.AddrPort
}

// SessionReport is what a Session found.
type SessionReport struct {
	// Sent is the number of messages sent.
	Sent uint64
	// Answered is the number of sequence numbers answered at least once.
	Answered uint64
	// Missing lists the sequence numbers without an answer, in order.
	Missing []uint64
	// Duplicates is the number of answers beyond the first per sequence number.
	Duplicates uint64
	// Foreign is the number of answers that carry another session's ID, are
	// malformed or answer what was never sent.
	Foreign uint64
	// Servers lists the names that answered, in the order of appearance. More
	// than one means that the flow was broken.
	Servers []string
}

// Whole reports whether every message was answered once by one server.
func (r SessionReport) Whole() bool {
	return len(r.Missing) == 0 && r.Duplicates == 0 && r.Foreign == 0 && len(r.Servers) <= 1
}

// Session is a caller that keeps one UDP flow open and numbers its messages.
// It is not safe for concurrent use.
type Session struct {
	id     uint64
	conn   *Spray
	target net.Addr

	answers []uint64 // answers seen per sequence number
	foreign uint64
	servers []string
}

// StartSession opens the session's socket. Nothing is sent yet.
func StartSession(opts SessionOptions) (*Session, error) {
	conn, err := StartSpray(SprayOptions{Targets: opts.Targets, Local: opts.Local})
	if err != nil {
		return nil, err
	}
	return &Session{id: opts.ID, conn: conn, target: conn.Service()}, nil
}

// Fabric returns the fabric that hands the session's messages to balancers.
func (s *Session) Fabric() *Spray { return s.conn }

// Addr returns the caller's address.
func (s *Session) Addr() netip.AddrPort { return s.conn.Addr() }

// Send sends the next message and returns its sequence number.
func (s *Session) Send() (uint64, error) {
	m := message{Session: s.id, Sequence: uint64(len(s.answers))}
	if _, err := s.conn.WriteTo(m.append(nil), s.target); err != nil {
		return m.Sequence, ErrTransfer.Wrap(err, "session %d, message %d", s.id, m.Sequence)
	}
	s.answers = append(s.answers, 0)
	return m.Sequence, nil
}

// Receive reads one answer. It returns the context's error if none arrives
// before the context ends.
func (s *Session) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return ErrTransfer.Wrap(err, "session %d", s.id)
	}
	var b [maxDatagram]byte
	n, _, err := s.conn.ReadFrom(b[:])
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		return ErrTransfer.Wrap(err, "session %d", s.id)
	}
	s.record(b[:n])
	return nil
}

// Exchange sends the next message and reads until it is answered.
func (s *Session) Exchange(ctx context.Context) error {
	sequence, err := s.Send()
	if err != nil {
		return err
	}
	for s.answers[sequence] == 0 {
		if err := s.Receive(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) record(b []byte) {
	m, ok := parseMessage(b)
	if !ok || m.Session != s.id || m.Sequence >= uint64(len(s.answers)) {
		s.foreign++
		return
	}
	s.answers[m.Sequence]++
	for _, name := range s.servers {
		if name == m.Server {
			return
		}
	}
	s.servers = append(s.servers, m.Server)
}

// Report sums up what was seen so far.
func (s *Session) Report() SessionReport {
	r := SessionReport{Sent: uint64(len(s.answers)), Foreign: s.foreign, Servers: s.servers}
	for sequence, n := range s.answers {
		if n == 0 {
			r.Missing = append(r.Missing, uint64(sequence))
			continue
		}
		r.Answered++
		r.Duplicates += n - 1
	}
	return r
}

// Close closes the socket.
func (s *Session) Close() error { return s.conn.Close() }
