package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// consumers are the callers behind one address, with the router in front of the frontends.
type consumers struct {
	f        *fleet
	conn     *net.UDPConn
	addr     netip.Addr
	nextPort atomic.Uint32

	mu      sync.Mutex
	fronts  []*machine // in rotation
	flows   map[uint16]*flow
	foreign int // packets that their sender did not write so
}

// flow is one flow of a consumer.
type flow struct {
	c        *consumers
	port     uint16
	route    netip.AddrPort
	in       chan received
	seq, ack uint32 // the next byte to send, the next one expected
	isOpen   bool
}

type received struct {
	head
	data    []byte
	genuine bool
}

var (
	errReset   = errors.New("a reset that no host has sent")
	errHostRST = errors.New("a reset of the host")
	errSilence = errors.New("no answer")
)

// newConsumers starts consumers that send to the frontends by the rule mod.
func newConsumers(f *fleet, fronts ...*machine) (*consumers, error) {
	ip := f.newIP()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, portPackets))))
	if err != nil {
		return nil, err
	}
	c := &consumers{f: f, conn: conn, addr: netip.MustParseAddr(ip), fronts: fronts, flows: make(map[uint16]*flow)}
	c.nextPort.Store(40000)
	go c.read()
	return c, nil
}

func (c *consumers) close() { _ = c.conn.Close() }

// setFronts changes the frontends in rotation.
func (c *consumers) setFronts(fronts ...*machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fronts = fronts
}

func (c *consumers) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p := bytes.Clone(buffer[:n])
		h, data, ok := decode(p)
		if !ok {
			continue
		}
		r := received{head: h, data: data, genuine: isGenuine(&h, p)}
		isReset := h.flags == flagRST && h.sum == 0 && h.length == 0
		c.mu.Lock()
		if !r.genuine && !isReset {
			c.foreign++
		}
		fl := c.flows[h.dport]
		c.mu.Unlock()
		if fl == nil || !r.genuine && !isReset {
			continue
		}
		select {
		case fl.in <- r:
		default:
		}
	}
}

// newFlow makes a flow to a route without opening it.
func (c *consumers) newFlow(route netip.AddrPort) *flow {
	fl := &flow{c: c, port: uint16(c.nextPort.Add(1)), route: route, in: make(chan received, 64), seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[fl.port] = fl
	c.mu.Unlock()
	return fl
}

// send sends one packet of the flow through the frontend that the router chooses.
func (fl *flow) send(flags byte, seq, ack uint32, data []byte) {
	h := head{flags: flags, src: fl.c.addr, sport: fl.port, dst: fl.route.Addr(), dport: fl.route.Port(), seq: seq, ack: ack}
	fl.c.mu.Lock()
	fronts := fl.c.fronts
	fl.c.mu.Unlock()
	if len(fronts) == 0 {
		return
	}
	front := fronts[int(fl.port)%len(fronts)]
	_, _ = fl.c.conn.WriteToUDP(h.encode(data), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(front.addr(portPackets))))
}

// accepts reports whether a consumer takes a reset of the system.
func (fl *flow) accepts(r *received) bool {
	return !fl.isOpen || int32(r.seq-fl.ack) <= 76_800 && int32(fl.ack-r.seq) <= 76_800
}

// open opens the flow and records how that ended.
func (fl *flow) open() error {
	err := fl.handshake()
	fl.c.f.rec.add("consumer: SYN on port %d to %v, error %v", fl.port, fl.route, err)
	return err
}

// handshake sends a SYN, and copies after 200 and 600 ms.
func (fl *flow) handshake() error {
	start := fl.seq
	begun := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for i := range copies {
		fl.send(flagSYN, start, uint32(i), nil)
		until := begun.Add(1400 * time.Millisecond)
		if i+1 < len(copies) {
			until = begun.Add(copies[i+1])
		}
		for time.Until(until) > 0 {
			select {
			case r := <-fl.in:
				switch {
				case r.flags&flagRST != 0 && r.genuine:
					return errHostRST
				case r.flags&flagRST != 0:
					return errReset
				case r.flags&(flagSYN|flagACK) == flagSYN|flagACK && r.ack == start+1:
					fl.seq, fl.ack, fl.isOpen = start+1, r.seq+1, true
					fl.send(flagACK, fl.seq, fl.ack, nil)
					return nil
				}
			case <-time.After(time.Until(until)):
			}
		}
	}
	return errSilence
}

// request sends one request on the flow and records its response or how it ended.
func (fl *flow) request(id string, budget time.Duration) (body string, err error) {
	body, err = fl.exchange(id, budget)
	fl.c.f.rec.add("consumer: request %s on port %d -> %q, error %v", id, fl.port, body, err)
	return body, err
}

// exchange sends a request and waits for the whole response. It sends copies after 200 ms,
// in growing intervals, until the time budget is over.
func (fl *flow) exchange(id string, budget time.Duration) (body string, err error) {
	text := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\n\r\n", id)
	until := time.Now().Add(budget)
	var response []byte
	for wait := 200 * time.Millisecond; time.Until(until) > 0; wait = min(2*wait, 1600*time.Millisecond) {
		fl.send(flagACK, fl.seq, fl.ack, text)
		resend := time.Now().Add(min(wait, time.Until(until)))
		for time.Until(resend) > 0 {
			select {
			case r := <-fl.in:
				switch {
				case r.flags&flagRST != 0 && r.genuine:
					return "", errHostRST
				case r.flags&flagRST != 0 && fl.accepts(&r):
					return "", errReset
				case r.genuine && r.length > 0 && r.seq == fl.ack:
					fl.ack += uint32(r.length)
					response = append(response, r.data...)
				}
			case <-time.After(time.Until(resend)):
			}
			if _, after, ok := bytes.Cut(response, []byte("\r\n\r\n")); ok && len(after) > 0 {
				fl.seq += uint32(len(text))
				fl.send(flagACK, fl.seq, fl.ack, nil)
				return string(after), nil
			}
		}
	}
	return "", errSilence
}
