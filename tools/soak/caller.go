package main

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	callerCount = 4
	// openTimeout is when a caller gives up a SYN; its copies are sent before.
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 3 * time.Second
	flowAge        = 20 * time.Second
	maxRepeats     = 2
)

// copyTimes are the times of a SYN and its copies.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// link is the state of the way from the callers to one balancer.
type link struct {
	lossShare float64
	delay     time.Duration
}

// router chooses the balancer for a packet as the users' routers do: by a hash over those
// that answer readiness probes.
type router struct {
	w         *world
	balancers []*process
	fleet     *fleet

	mu    sync.Mutex
	inUse []*process
	links map[string]link
}

func (r *router) probe(ctx context.Context) {
	misses := make([]int, len(r.balancers))
	for ctx.Err() == nil {
		var inUse []*process
		for i, p := range r.balancers {
			if status, _ := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/readiness", r.fleet.port(p.addr, portReady)), ""); status == http.StatusOK {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if misses[i] < 2 {
				inUse = append(inUse, p)
			}
		}
		if len(inUse) == 0 {
			inUse = r.balancers
		}
		r.mu.Lock()
		r.inUse = inUse
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) setLink(balancer string, l link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[balancer] = l
}

func (r *router) choose(t tuple) (*process, link) {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, t.caller, t.service)
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.inUse[int(h.Sum32()%uint32(len(r.inUse)))]
	return p, r.links[p.name]
}

// caller is a VM with callers on it.
type caller struct {
	w      *world
	router *router
	addr   netip.Addr
	conn   *net.UDPConn
	index  int

	mu       sync.Mutex
	port     uint16
	requests int
	flows    map[uint16]*callerFlow
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	*caller
	t         tuple
	in        chan received
	seq, next uint32
}

type received struct {
	packet
	reset  bool // by the system
	sender string
}

// The outcomes of an attempt.
type outcome string

const (
	done       outcome = "answered"
	notRun     outcome = "not run"
	notOpened  outcome = "not opened"
	wasReset   outcome = "reset"
	unanswered outcome = "no answer"
)

// read hands packets to their flows until the socket is closed.
func (c *caller) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		b := buf[:n]
		p, err := decode(b)
		isReset := err == nil && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if err != nil || (p.sum != checksum(b) && !isReset) || p.dst.Addr() != c.addr {
			c.w.report("a caller gets what its backend server wrote", "%s got %x from %s", c.addr, b[:min(n, headerSize)], from)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.t.service != p.src {
			continue // a late packet of a flow that the caller has given up
		}
		select {
		case f.in <- received{packet: p, reset: isReset, sender: c.balancerAt(from)}:
		default: // the flow's queue is full: lost
		}
	}
}

func (c *caller) balancerAt(from netip.AddrPort) string {
	for _, p := range c.router.fleet.processes {
		if p.addr == from.Addr() {
			return p.name
		}
	}
	return from.String()
}

// newFlow returns a flow from a new port.
func (c *caller) newFlow(service netip.AddrPort) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &callerFlow{caller: c, t: tuple{caller: netip.AddrPortFrom(c.addr, c.port), service: service}, in: make(chan received, 256), seq: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

func (c *caller) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return fmt.Sprintf("c%02d-%012d", c.index, c.requests)
}

func (f *callerFlow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{flags: flags, src: f.t.caller, dst: f.t.service, seq: seq, ack: ack, data: data}
	b := p.encode()
	balancer, l := f.router.choose(f.t)
	if rand.Float64() < l.lossShare {
		return
	}
	f.w.sent(f.t, balancer.name)
	to := f.router.fleet.port(balancer.addr, portPackets)
	if l.delay == 0 {
		_, _ = f.conn.WriteToUDPAddrPort(b, to) // lost if the balancer is down
		return
	}
	time.AfterFunc(time.Duration(rand.Int64N(int64(l.delay))), func() { _, _ = f.conn.WriteToUDPAddrPort(b, to) })
}

// await returns the next packet before the deadline.
func (f *callerFlow) await(deadline time.Time) (received, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-f.in:
		return r, true
	case <-timer.C:
		return received{}, false
	}
}

// open opens the flow.
func (f *callerFlow) open() outcome {
	start := time.Now()
	for i, at := range copyTimes {
		f.send(flagSYN, f.seq, uint32(i), nil)
		until := openTimeout
		if i+1 < len(copyTimes) {
			until = copyTimes[i+1]
		}
		for time.Since(start) < max(until, at) {
			r, ok := f.await(start.Add(until))
			switch {
			case !ok:
			case r.flags&flagRST != 0:
				return notOpened
			case r.flags == flagSYN|flagACK && r.ack == f.seq+1:
				f.seq, f.next = f.seq+1, r.seq+1
				f.send(flagACK, f.seq, f.next, nil)
				return done
			}
		}
	}
	return notOpened
}

// ask sends a request and returns its outcome, and whether the flow stays open.
func (f *callerFlow) ask(r *request) (outcome, bool) {
	start, interval := time.Now(), 200*time.Millisecond
	size, parts := responseHeader+r.body, map[uint32]received{}
	for time.Since(start) < requestTimeout {
		f.send(flagACK, f.seq, f.next, r.encode())
		for deadline := time.Now().Add(interval); ; {
			in, ok := f.await(deadline)
			if !ok {
				break
			}
			if in.reset {
				f.w.reset(f.t, in.sender)
			}
			if in.flags&flagRST != 0 {
				return wasReset, false
			}
			if len(in.data) == 0 || in.ack != f.seq+requestSize {
				continue
			}
			parts[in.seq] = in
			if whole, last := f.assemble(parts, size); whole != nil {
				return f.judge(r, whole, last)
			}
		}
		interval = min(interval*2, 1600*time.Millisecond)
	}
	return unanswered, false
}

// assemble returns the response once all of its packets are there.
func (f *callerFlow) assemble(parts map[uint32]received, size int) (whole []byte, last received) {
	for len(whole) < size {
		part, ok := parts[f.next+uint32(len(whole))]
		if !ok {
			return nil, last
		}
		whole, last = append(whole, part.data...), part
	}
	return whole, last
}

func (f *callerFlow) judge(r *request, whole []byte, last received) (outcome, bool) {
	f.seq, f.next = f.seq+requestSize, f.next+uint32(len(whole))
	status := whole[min(idSize, len(whole)-1)]
	if !bytes.Equal(whole, r.response(status)) {
		f.w.report("an answer belongs to its request and is whole", "%s got %q", r.id, whole[:min(len(whole), responseHeader)])
	}
	if status == statusNotRun {
		return notRun, last.flags&flagFIN == 0
	}
	return done, last.flags&flagFIN == 0
}

// close ends the flow at both ends.
func (f *callerFlow) close() {
	f.w.ended(f.t)
	f.send(flagFIN|flagACK, f.seq, f.next, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.flows, f.t.caller.Port())
}

// newRequest draws a request for a route.
func (c *caller) newRequest(r route) *request {
	return &request{id: c.newID(), unsafe: r.unsafe, body: 200 + rand.IntN(4000), workMS: 2 + rand.IntN(20)}
}

// runLong keeps flows open for many requests, until ctx ends.
func (c *caller) runLong(ctx context.Context, r route) {
	for ctx.Err() == nil {
		f := c.newFlow(r.addr)
		start := time.Now()
		isOpen := c.observe(start, f.open()) == done
		for isOpen && ctx.Err() == nil && time.Since(start) < flowAge {
			asked := time.Now()
			var result outcome
			result, isOpen = f.ask(c.newRequest(r))
			c.observe(asked, result)
			time.Sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
		}
		f.close()
		time.Sleep(20 * time.Millisecond)
	}
}

// runShort opens a flow for each request, until ctx ends.
func (c *caller) runShort(ctx context.Context, r route) {
	for ctx.Err() == nil {
		c.observe(time.Now(), c.askOnce(r))
		time.Sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
	}
}

// askOnce sends one request on its own flow, repeated as far as it may be.
func (c *caller) askOnce(route route) (result outcome) {
	r := c.newRequest(route)
	for range 1 + maxRepeats {
		f := c.newFlow(route.addr)
		if result = f.open(); result == done {
			result, _ = f.ask(r)
		}
		f.close()
		if result == done || r.unsafe && result != notOpened && result != notRun {
			return result
		}
	}
	return result
}

// observe records an outcome for the report.
func (c *caller) observe(start time.Time, result outcome) outcome {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.samples = append(c.w.samples, sample{at: start.Sub(c.w.start), took: time.Since(start), ok: result == done})
	c.w.counts["attempts "+string(result)]++
	return result
}
