package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowKey names a flow: the consumer's end and the route's address.
type flowKey struct{ consumer, route netip.AddrPort }

// hostFlow is a flow that a host holds.
type hostFlow struct {
	seq      uint32 // next byte to send
	next     uint32 // next byte expected
	isOpen   bool
	response []byte // last response sent, for a request that is sent again
	lastSeq  uint32 // sequence of the last request
}

// host is a server that speaks what the pages say, one request a packet.
type host struct {
	fleet    *fleet
	id       string
	service  string
	machine  int
	work     time.Duration
	beat     time.Duration
	born     int64
	conn     *net.UDPConn
	outbound *net.UDPAddr
	health   net.Listener
	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	state    string
	sequence int
	runs     map[string]int // runs by request id
	opened   int
	resets   int
	stop     chan struct{}
}

func (f *fleet) startHost(id, service string, machine int) (*host, error) {
	h := &host{
		fleet: f, id: id, service: service, machine: machine, work: 20 * time.Millisecond, beat: 770 * time.Millisecond,
		born: time.Now().UnixMilli(), flows: make(map[flowKey]*hostFlow), runs: make(map[string]int), state: "ready", stop: make(chan struct{}),
	}
	var err error
	if h.conn, err = listenUDP(f.addr(machine, f.ports.app)); err != nil {
		return nil, err
	}
	if h.health, err = net.Listen("tcp4", f.addr(machine, f.ports.app)); err != nil {
		return nil, err
	}
	h.outbound, _ = net.ResolveUDPAddr("udp4", f.addr(machine, f.ports.outbound))
	go func() { _ = http.Serve(h.health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go h.serve()
	go h.sendBeats()
	return h, nil
}

// crash ends the host without a word.
func (h *host) crash() {
	close(h.stop)
	_ = h.conn.Close()
	_ = h.health.Close()
}

func (h *host) setState(state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = state
}

// report sends one liveness report and tells whether it was acknowledged.
func (h *host) report() bool {
	h.mu.Lock()
	h.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":4,"state":%q,"warmup_remaining_ms":0,"sequence":%d,"born":%d}`,
		h.service, h.fleet.addr(h.machine, h.fleet.ports.app), h.state, h.sequence, h.born)
	h.mu.Unlock()
	status, _ := call("PUT", "http://"+h.fleet.addr(h.machine, h.fleet.ports.control)+"/instances/"+h.id, body)
	return status >= 200 && status < 300
}

func (h *host) sendBeats() {
	for {
		h.report()
		select {
		case <-h.stop:
			return
		case <-time.After(h.beat):
		}
	}
}

func (h *host) serve() {
	buf := make([]byte, 4096)
	for {
		n, err := h.conn.Read(buf)
		if err != nil {
			return
		}
		if p, ok := decode(buf[:n]); ok {
			if !p.genuine() {
				h.fleet.record.printf("host %s: got a packet that its sender did not write so", h.id)
			}
			h.handle(&p)
		}
	}
}

func (h *host) send(p packet) { _, _ = h.conn.WriteToUDP(p.encode(), h.outbound) }

func (h *host) bounce(p *packet) {
	b := append([]byte(nil), p.raw...)
	b[2] |= flagBounced
	clear(b[3:6])
	_, _ = h.conn.WriteToUDP(b, h.outbound)
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
			h.flows[key] = f
		}
		h.send(packet{flags: flagSYN | flagACK, src: p.dst, dst: p.src, seq: f.seq, ack: f.next})
		return
	}
	if f == nil || !f.isOpen && p.ack != f.seq+1 {
		h.bounce(p)
		return
	}
	if !f.isOpen {
		f.isOpen = true
		f.seq++
		h.opened++
	}
	switch {
	case p.flags&flagRST != 0:
		delete(h.flows, key)
	case p.flags&flagFIN != 0:
		h.send(packet{flags: flagACK | flagFIN, src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1})
		delete(h.flows, key)
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		f.lastSeq = p.seq
		f.response = nil
		id := requestID(p.data)
		h.runs[id]++
		h.fleet.record.quiet("host %s: runs %s", h.id, id)
		go h.respond(key, f, id)
	case len(p.data) > 0 && p.seq == f.lastSeq && f.response != nil:
		h.send(packet{flags: flagACK, src: p.dst, dst: p.src, seq: f.seq - uint32(len(f.response)), ack: f.next, data: f.response})
	}
}

func (h *host) respond(key flowKey, f *hostFlow, id string) {
	time.Sleep(h.work)
	h.mu.Lock()
	defer h.mu.Unlock()
	body := "ok " + id
	f.response = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body))
	f.seq += uint32(len(f.response))
	h.send(packet{flags: flagACK, src: key.route, dst: key.consumer, seq: f.seq - uint32(len(f.response)), ack: f.next, data: f.response})
}

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
