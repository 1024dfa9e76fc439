package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"fulmarmount.org/fulmarmount/platform/platformtest"
)

const (
	reportInterval = 200 * time.Millisecond
	// slots is the number of requests that a backend server runs at a time, and queue the
	// number that wait.
	slots = 8
	queue = 32
	// coldTime is how long a backend server is slow after its start, by coldFactor.
	coldTime   = 3 * time.Second
	coldFactor = 3
	// coldFlowLimit is the number of new flows that a cold one takes in a second.
	coldFlowLimit = 5
	// coldRequestRate is what the documents say that it bears a second.
	coldRequestRate = 2
	slowFactor      = 10
)

// serverFlow is a flow at a backend server.
type serverFlow struct {
	isn      uint32
	next     uint32 // the caller's next sequence number
	sent     uint32 // the next sequence number of this end
	response [][]byte
	open     bool
}

// server is a backend server beside one agent. It survives its own restarts as a new
// incarnation.
type server struct {
	w                          *world
	name, agent, zone, service string
	conn                       *net.UDPConn
	outbound, reports          netip.AddrPort
	running                    chan struct{}

	mu          sync.Mutex
	incarnation int
	id          string
	born        time.Time
	alive       bool
	hanging     bool
	slow        bool
	draining    bool
	drainAcked  time.Time
	sequence    int
	coldFlows   int // new flows of the incarnation while it was cold
	waiting     int
	flows       map[tuple]*serverFlow
	closed      map[tuple]bool
}

func newServer(w *world, f *fleet, p *process, i int) (*server, error) {
	s := &server{
		w: w, name: fmt.Sprint("server-", i), agent: p.name, zone: p.zone, service: p.service,
		outbound: f.port(p.addr, portOutbound), reports: f.port(p.addr, portOperators), running: make(chan struct{}, slots),
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.port(p.addr, portBackend)))
	if err != nil {
		return nil, errProcess.Wrap(err, "socket of %s", s.name)
	}
	s.conn = conn
	s.startAgain(false)
	return s, nil
}

// startAgain begins an incarnation that knows no flow and is cold.
func (s *server) startAgain(sameID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	if !sameID || s.id == "" {
		s.id = fmt.Sprintf("i-%s-%d", s.name, s.incarnation)
	}
	s.born, s.alive, s.hanging, s.slow, s.draining, s.drainAcked, s.sequence = time.Now(), true, false, false, false, time.Time{}, 0
	s.waiting, s.coldFlows, s.flows, s.closed = 0, 0, map[tuple]*serverFlow{}, map[tuple]bool{}
}

// die ends the incarnation without a word.
func (s *server) die() { s.set(func() { s.alive, s.flows = false, nil }) }

func (s *server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// holds reports whether an incarnation still lives and holds a flow. It is called with
// world.mu held, so that no method may take world.mu while it holds s.mu.
func (s *server) holds(t tuple, incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[t]
	return s.alive && s.incarnation == incarnation && f != nil && f.open
}

// serve handles packets until the socket is closed.
func (s *server) serve() {
	buf := make([]byte, 2048)
	for {
		n, err := s.conn.Read(buf)
		if err != nil {
			return
		}
		for _, out := range s.receive(append([]byte(nil), buf[:n]...)) {
			s.send(out)
		}
	}
}

func (s *server) send(b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) // lost if the agent is down
}

// receive returns what the backend server sends at once for a packet.
func (s *server) receive(b []byte) [][]byte {
	p, err := decode(b)
	if err != nil || p.sum != checksum(b) {
		s.w.report("a backend server gets what its caller wrote", "%s got %x", s.name, b[:min(len(b), headerSize)])
		if err != nil {
			return nil
		}
	}
	t := tuple{caller: p.src, service: p.dst}
	if p.flags == flagSYN {
		return s.receiveSYN(t, p)
	}
	s.mu.Lock()
	f, closed := s.flows[t], s.closed[t]
	if !s.alive || s.hanging {
		s.mu.Unlock()
		return nil
	}
	if f == nil && closed {
		s.mu.Unlock()
		return s.receiveClosed(t, p)
	}
	if f == nil || (!f.open && p.ack != f.isn+1) {
		s.mu.Unlock()
		b[2] |= flagBounced
		b[3], b[4], b[5] = 0, 0, 0
		return [][]byte{b}
	}
	opens, incarnation := !f.open, s.incarnation
	f.open = true
	s.mu.Unlock()
	if opens {
		s.w.opened(s, t, incarnation)
	}
	if p.flags&(flagFIN|flagRST) != 0 {
		s.closeFlow(t)
		return s.receiveClosed(t, p)
	}
	return s.receiveData(t, f, p)
}

func (s *server) receiveSYN(t tuple, p packet) [][]byte {
	s.mu.Lock()
	if !s.alive || s.hanging {
		s.mu.Unlock()
		return nil
	}
	f, isNew := s.flows[t], false
	if f == nil {
		isNew = true
		isn := uint32(time.Now().UnixNano())
		f = &serverFlow{isn: isn, next: p.seq + 1, sent: isn + 1}
		s.flows[t] = f
		delete(s.closed, t)
	}
	drainAcked, age := s.drainAcked, time.Since(s.born)
	if isNew && age < coldTime {
		s.coldFlows++
	}
	coldFlows := s.coldFlows
	s.mu.Unlock()
	if isNew {
		s.w.tookSYN(s, t, drainAcked)
		s.w.tookCold(s, coldFlows, age)
	}
	out := packet{flags: flagSYN | flagACK, src: t.service, dst: t.caller, seq: f.isn, ack: p.seq + 1}
	return [][]byte{out.encode()}
}

// receiveClosed answers a packet of a flow that has ended here.
func (s *server) receiveClosed(t tuple, p packet) [][]byte {
	out := packet{flags: flagACK, src: t.service, dst: t.caller, seq: p.ack, ack: p.seq + 1}
	switch {
	case p.flags&flagRST != 0, p.flags&flagFIN == 0 && len(p.data) == 0:
		return nil
	case p.flags&flagFIN == 0:
		out.flags = flagRST
	}
	return [][]byte{out.encode()}
}

func (s *server) closeFlow(t tuple) {
	s.set(func() {
		delete(s.flows, t)
		if s.closed != nil {
			s.closed[t] = true
		}
	})
	s.w.ended(t)
}

// receiveData runs a new request, and repeats the response to the one before.
func (s *server) receiveData(t tuple, f *serverFlow, p packet) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := decodeRequest(p.data)
	switch {
	case !ok || int32(p.seq-f.next) > 0:
		return nil
	case p.seq != f.next:
		return f.response
	}
	f.next += requestSize
	f.response = nil
	isFull := s.waiting >= slots+queue
	if !isFull {
		s.waiting++
	}
	go s.run(t, f, r, s.incarnation, isFull)
	return nil
}

// run runs a request and sends the response.
func (s *server) run(t tuple, f *serverFlow, r request, incarnation int, isFull bool) {
	status := byte(statusNotRun)
	if !isFull {
		status = statusDone
		s.running <- struct{}{}
		s.w.ran(s, &r)
		time.Sleep(time.Duration(r.workMS*s.factor()) * time.Millisecond)
		<-s.running
	}
	s.mu.Lock()
	if !s.alive || s.incarnation != incarnation {
		s.mu.Unlock()
		return
	}
	if !isFull {
		s.waiting--
	}
	f.response = split(t, f, r.response(status), s.draining)
	response, closes, hanging := f.response, s.draining, s.hanging
	s.mu.Unlock()
	if closes {
		s.w.ended(t) // the caller closes it at the FIN
	}
	for _, b := range response {
		if !hanging {
			s.send(b)
		}
	}
}

func (s *server) factor() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.slow:
		return slowFactor
	case time.Since(s.born) < coldTime:
		return coldFactor
	}
	return 1
}

// split returns the packets of a response; the last one closes the flow if closes is set.
func split(t tuple, f *serverFlow, response []byte, closes bool) (out [][]byte) {
	for len(response) > 0 {
		n := min(len(response), maxData)
		p := packet{flags: flagACK, src: t.service, dst: t.caller, seq: f.sent, ack: f.next, data: response[:n]}
		if closes && n == len(response) {
			p.flags |= flagFIN
		}
		out = append(out, p.encode())
		f.sent += uint32(n)
		response = response[n:]
	}
	return out
}

// sendReports sends reports to the agent until ctx ends.
func (s *server) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendReport(ctx)
		time.Sleep(reportInterval)
	}
}

func (s *server) sendReport(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	state, draining, incarnation, id, silent := "ready", s.draining, s.incarnation, s.id, !s.alive || s.hanging
	if draining {
		state = "draining"
	}
	report := platformtest.Report{
		Service: s.service, Address: s.conn.LocalAddr().String(), Zone: s.zone, Version: "v1", Slots: slots, State: state,
		WarmupRemaining: max(coldTime-time.Since(s.born), 0).Milliseconds(), Sequence: s.sequence, Born: s.born.UnixMilli(),
	}
	s.mu.Unlock()
	if silent {
		return
	}
	status, _ := call(ctx, http.MethodPut, fmt.Sprintf("http://%s/instances/%s", s.reports, id), report.Encode())
	if status != http.StatusOK || !draining {
		return
	}
	s.set(func() {
		if s.incarnation == incarnation && s.drainAcked.IsZero() {
			s.drainAcked = time.Now()
		}
	})
}

// leave deregisters the incarnation and ends it.
func (s *server) leave(ctx context.Context) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	_, _ = call(ctx, http.MethodDelete, fmt.Sprintf("http://%s/instances/%s", s.reports, id), "")
	s.die()
}

// callTimeout bounds a call, as the users' platform does.
const callTimeout = time.Second

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends an HTTP request. The status is 0 if there was no response.
func call(ctx context.Context, method, url, body string) (status int, response string) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	answer, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	var b bytes.Buffer
	if _, err := b.ReadFrom(answer.Body); err != nil {
		return 0, ""
	}
	return answer.StatusCode, b.String()
}
