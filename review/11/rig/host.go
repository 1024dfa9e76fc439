package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// host is an application host beside the daemon of a side machine.
type host struct {
	f       *fleet
	m       *machine
	id      string
	born    int64
	client  *http.Client
	conn    *net.UDPConn
	out     *net.UDPAddr
	stopped chan struct{}
	tasks   sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	draining bool
	flows    map[flowKey]*hostFlow
	opened   int // flows that have opened
	syns     int // SYNs that were taken
	runs     map[string]int
	foreign  int // packets that their sender did not write so
	statuses map[int]int
}

// flowKey names a flow by its ends.
type flowKey struct {
	caller, route netip.AddrPort
}

// hostFlow is a flow that the host holds.
type hostFlow struct {
	callerSeq, ownSeq uint32 // of the SYN and the SYN+ACK
	next, sent        uint32 // the next byte of the caller, the next of the host
	isOpen            bool
	buffer            []byte
	last              []byte // the latest response, for copies of its request
	lastSeq, lastAck  uint32
}

// startHost starts a host. Its first report goes out at once. clock is what the time of day of
// its machine differs from the true time.
func startHost(f *fleet, m *machine, id string, clock time.Duration) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.addr(portApp))))
	if err != nil {
		return nil, err
	}
	h := &host{
		f: f, m: m, id: id, born: time.Now().Add(clock).UnixMilli(), conn: conn,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		out:    net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.addr(portOutbound))), stopped: make(chan struct{}),
		flows: make(map[flowKey]*hostFlow), runs: make(map[string]int), statuses: make(map[int]int),
	}
	f.rec.add("host %s at %s starts, born %d", id, m.addr(portApp), h.born)
	h.tasks.Go(h.read)
	h.tasks.Go(h.reportOften)
	return h, nil
}

// stop ends the host without a word.
func (h *host) stop() {
	close(h.stopped)
	_ = h.conn.Close()
	h.tasks.Wait()
}

// openFlows returns the number of flows that have opened at the host.
func (h *host) openFlows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opened
}

// reportOften sends a liveness report every beat.
func (h *host) reportOften() {
	for {
		h.report()
		select {
		case <-h.stopped:
			return
		case <-time.After(beat):
		}
	}
}

// report sends one liveness report and returns the status.
func (h *host) report() int {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.m.service, "address": h.m.addr(portApp), "zone": h.m.zone, "version": "v1", "slots": 4, "state": state,
		"warmup_remaining_ms": 0, "sequence": h.sequence, "born": h.born,
	})
	sequence := h.sequence
	h.mu.Unlock()
	status := h.call(http.MethodPut, "/instances/"+h.id, body)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.f.rec.add("host %s: report %d, born %d -> %d", h.id, sequence, h.born, status)
	h.statuses[status]++
	return status
}

func (h *host) call(method, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.m.addr(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// read handles the packets of the host's own machine.
func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p := bytes.Clone(buffer[:n])
		head, data, ok := decode(p)
		if !ok {
			continue
		}
		h.handle(&head, data, p)
	}
}

func (h *host) handle(p *head, data, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isGenuine(p, raw) || p.flags&flagSYN != 0 && p.flags&flagACK != 0 {
		h.foreign++
		return
	}
	key := flowKey{caller: netip.AddrPortFrom(p.src, p.sport), route: netip.AddrPortFrom(p.dst, p.dport)}
	flow := h.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		h.handleSYN(key, flow, p)
	case flow == nil || !flow.isOpen && p.ack != flow.ownSeq+1:
		h.bounce(raw)
	case p.flags&flagRST != 0:
		delete(h.flows, key)
	default:
		h.handleData(key, flow, p, data)
	}
}

func (h *host) handleSYN(key flowKey, flow *hostFlow, p *head) {
	if flow == nil || flow.callerSeq != p.seq {
		h.syns++
		own := rand.Uint32()
		flow = &hostFlow{callerSeq: p.seq, ownSeq: own, next: p.seq + 1, sent: own + 1}
		h.flows[key] = flow
	}
	h.send(key, flagSYN|flagACK, flow.ownSeq, flow.next, nil)
}

func (h *host) handleData(key flowKey, flow *hostFlow, p *head, data []byte) {
	if !flow.isOpen {
		flow.isOpen = true
		h.opened++
		h.f.rec.add("host %s: flow of %v is open", h.id, key.caller)
	}
	if len(data) == 0 {
		return
	}
	if p.seq != flow.next {
		if flow.last != nil && p.seq+uint32(len(data)) == flow.next {
			h.send(key, flagACK, flow.lastSeq, flow.lastAck, flow.last) // a copy of the request
			return
		}
		h.send(key, flagACK, flow.sent, flow.next, nil)
		return
	}
	flow.next += uint32(len(data))
	flow.buffer = append(flow.buffer, data...)
	end := bytes.Index(flow.buffer, []byte("\r\n\r\n"))
	if end < 0 {
		h.send(key, flagACK, flow.sent, flow.next, nil)
		return
	}
	request := string(flow.buffer[:end])
	flow.buffer = nil
	id := headerOf(request, "X-Request-Id")
	h.runs[id]++
	h.f.rec.add("host %s: runs request %s", h.id, id)
	body := fmt.Sprintf("%s of %s", id, h.id)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	flow.last, flow.lastSeq, flow.lastAck = []byte(response), flow.sent, flow.next
	h.send(key, flagACK, flow.sent, flow.next, flow.last)
	flow.sent += uint32(len(response))
}

// bounce returns a packet of a flow that the host does not hold.
func (h *host) bounce(raw []byte) {
	raw[2] |= flagBounced
	clear(raw[3:6])
	_, _ = h.conn.WriteToUDP(raw, h.out)
}

func (h *host) send(key flowKey, flags byte, seq, ack uint32, data []byte) {
	p := head{
		flags: flags, src: key.route.Addr(), sport: key.route.Port(), dst: key.caller.Addr(), dport: key.caller.Port(), seq: seq, ack: ack,
	}
	_, _ = h.conn.WriteToUDP(p.encode(data), h.out)
}

func headerOf(request, name string) string {
	for line := range bytes.SplitSeq([]byte(request), []byte("\r\n")) {
		key, value, ok := bytes.Cut(line, []byte(": "))
		if ok && string(key) == name {
			return string(value)
		}
	}
	return ""
}
