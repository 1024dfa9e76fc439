package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// consumer is a machine with consumers. Its flows reach the balancers through router.
type consumer struct {
	fleet  *fleet
	conn   *net.UDPConn
	ip     netip.Addr
	route  netip.AddrPort
	mu     sync.Mutex
	flows  map[uint16]*flow
	port   uint16
	router func(port uint16) int // the balancer's machine for a flow
}

// flow is the consumer's end of a flow.
type flow struct {
	consumer    *consumer
	port        uint16
	in          chan packet
	seq, ack    uint32
	server      string // the host that answered first
	openedAt    time.Time
	lastAnswer  time.Time
	wasReset    bool
	resetAt     time.Time
	isConfirmed bool
}

func (f *fleet) startConsumer(machine int, route string, router func(uint16) int) (*consumer, error) {
	conn, err := listenUDP(f.addr(machine, f.ports.packets))
	if err != nil {
		return nil, err
	}
	c := &consumer{fleet: f, conn: conn, ip: netip.MustParseAddr(f.ip(machine)), route: netip.MustParseAddrPort(route), flows: make(map[uint16]*flow), port: 20000, router: router}
	go c.receive()
	return c, nil
}

func (c *consumer) receive() {
	buf := make([]byte, 4096)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	c := f.consumer
	p := packet{flags: flags, src: netip.AddrPortFrom(c.ip, f.port), dst: c.route, seq: seq, ack: ack, data: data}
	to, _ := net.ResolveUDPAddr("udp4", c.fleet.addr(c.router(f.port), c.fleet.ports.packets))
	_, _ = c.conn.WriteToUDP(p.encode(), to)
}

// open opens a flow: a SYN, and copies after 200 and 600 ms. It ends after 1.4 s or at
// a reset.
func (c *consumer) open() (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{consumer: c, port: c.port, in: make(chan packet, 64), seq: uint32(c.port) * 100000}
	c.flows[f.port] = f
	c.mu.Unlock()
	began := time.Now()
	for i, wait := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(flagSYN, f.seq, uint32(i), nil)
		for time.Since(began) < wait {
			p, ok := f.next(wait - time.Since(began))
			switch {
			case !ok:
			case p.flags&flagRST != 0:
				return nil, fmt.Errorf("reset while opening")
			case p.flags&(flagSYN|flagACK) == flagSYN|flagACK:
				f.seq++
				f.ack = p.seq + 1
				f.openedAt = time.Now()
				f.send(flagACK, f.seq, f.ack, nil)
				return f, nil
			}
		}
	}
	return nil, fmt.Errorf("no SYN+ACK within 1.4 s")
}

func (f *flow) next(wait time.Duration) (packet, bool) {
	select {
	case p := <-f.in:
		return p, true
	case <-time.After(max(wait, 0)):
		return packet{}, false
	}
}

// request sends one request and returns the host that answered. A reset that no host
// sent sets wasReset.
func (f *flow) request(method, id string, limit time.Duration) (string, error) {
	text := []byte(fmt.Sprintf("%s /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id))
	began, interval := time.Now(), 200*time.Millisecond
	for time.Since(began) < limit {
		f.send(flagACK, f.seq, f.ack, text)
		for end := time.Now().Add(min(interval, limit-time.Since(began))); time.Now().Before(end); {
			p, ok := f.next(time.Until(end))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				f.wasReset, f.resetAt = true, time.Now()
				return "", fmt.Errorf("reset, sum %d", p.sum)
			}
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			if !p.genuine() {
				return "", fmt.Errorf("a packet that its sender did not write so")
			}
			f.seq += uint32(len(text))
			f.ack += uint32(len(p.data))
			f.lastAnswer = time.Now()
			f.send(flagACK, f.seq, f.ack, nil)
			_, rest, _ := strings.Cut(string(p.data), "X-Server-Stamp: ")
			server, _, _ := strings.Cut(rest, "\r\n")
			if !strings.HasSuffix(string(p.data), "ok "+id) {
				return server, fmt.Errorf("the answer of another request: %q", p.data)
			}
			return server, nil
		}
		interval = min(2*interval, 1600*time.Millisecond)
	}
	return "", fmt.Errorf("no answer within %v", limit)
}
