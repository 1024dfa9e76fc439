package standin

import (
	"net"
	"net/netip"
	"sync"
)

// maxDatagram is the largest UDP payload, in bytes.
const maxDatagram = 65535

// EchoOptions configures an Echo.
type EchoOptions struct {
	// Name is sent in every answer.
	Name string
	// Listen is a loopback address; the zero value takes a free port.
	Listen netip.AddrPort
}

// SessionCount is what an Echo saw of one session.
type SessionCount struct {
	Session  uint64
	Messages uint64
}

// Echo is a UDP backend server. It answers each message of a Session with its
// name and counts the messages per session, so that a test can see whether a
// flow reached a second server.
type Echo struct {
	name string
	conn *net.UDPConn
	done chan struct{}

	mu     sync.Mutex
	counts map[uint64]uint64
}

// StartEcho starts an Echo.
func StartEcho(opts EchoOptions) (*Echo, error) {
	addr, err := loopback(opts.Listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, ErrListen.Wrap(err, "echo %q on %v", opts.Name, addr)
	}
	e := &Echo{name: opts.Name, conn: conn, done: make(chan struct{}), counts: map[uint64]uint64{}}
	go e.serve()
	return e, nil
}

func (e *Echo) serve() {
	defer close(e.done)
	in := make([]byte, maxDatagram)
	var out []byte
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		m, ok := parseMessage(in[:n])
		if !ok {
			continue
		}
		e.count(m.Session)
		m.Server = e.name
		out = m.append(out[:0])
		_, _ = e.conn.WriteToUDPAddrPort(out, from) // A lost answer shows at the caller.
	}
}

func (e *Echo) count(session uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[session]++
}

// Name returns the name sent in answers.
func (e *Echo) Name() string { return e.name }

// Addr returns the address listened on.
func (e *Echo) Addr() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Sessions returns the sessions seen, in no order.
func (e *Echo) Sessions() []SessionCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]SessionCount, 0, len(e.counts))
	for s, n := range e.counts {
		all = append(all, SessionCount{Session: s, Messages: n})
	}
	return all
}

// Messages returns how many messages of a session arrived.
func (e *Echo) Messages(session uint64) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[session]
}

// Close stops the server and waits for its goroutine.
func (e *Echo) Close() error {
	err := e.conn.Close()
	<-e.done
	return err
}
