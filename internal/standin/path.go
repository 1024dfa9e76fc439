package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PathOptions configure a Path.
type PathOptions struct {
	// Target is where datagrams go.
	Target netip.AddrPort
	// Delay of each datagram, one way.
	Delay time.Duration
	// Loss is the part of the datagrams that is lost, each way, from 0 to 1.
	Loss float64
	// Seed of the choice of lost datagrams.
	Seed uint64
}

// Path is a network between callers and one address. It can lose track of the
// ports that it knows: it then swallows what belongs to them, both ways, while
// new ones work.
type Path struct {
	options PathOptions
	front   *net.UDPConn

	mu    sync.Mutex
	rng   *rand.Rand
	ports map[netip.AddrPort]*net.UDPConn // nil once forgotten
}

// StartPath opens the path's socket.
func StartPath(o PathOptions) (*Path, error) {
	front, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		return nil, ErrListen.Wrap(err, "path to %v", o.Target)
	}
	p := &Path{
		options: o,
		front:   front,
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		ports:   make(map[netip.AddrPort]*net.UDPConn),
	}
	go p.run()
	return p, nil
}

// Addr returns the address that stands for the target.
func (p *Path) Addr() netip.AddrPort { return p.front.LocalAddr().(*net.UDPAddr).AddrPort() }

// Forget swallows from now on what belongs to the ports known so far.
func (p *Path) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for port, onward := range p.ports {
		if onward != nil {
			_ = onward.Close()
		}
		p.ports[port] = nil
	}
}

// Close closes the path.
func (p *Path) Close() error {
	p.Forget()
	return p.front.Close()
}

func (p *Path) run() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := p.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if onward := p.onward(from); onward != nil {
			p.carry(buf[:n], func(b []byte) { _, _ = onward.Write(b) })
		}
	}
}

// onward returns the socket that stands for a port towards the target, or nil.
func (p *Path) onward(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if onward, known := p.ports[from]; known {
		return onward
	}
	onward, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.options.Target))
	if err != nil {
		return nil
	}
	p.ports[from] = onward
	go p.back(onward, from)
	return onward
}

func (p *Path) back(onward *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, 1<<16)
	for {
		n, err := onward.Read(buf)
		if err != nil {
			return
		}
		p.carry(buf[:n], func(b []byte) { _, _ = p.front.WriteToUDPAddrPort(b, to) })
	}
}

// carry sends one datagram on after the delay, or loses it.
func (p *Path) carry(b []byte, send func([]byte)) {
	if p.lost() {
		return
	}
	if p.options.Delay == 0 {
		send(b)
		return
	}
	late := append([]byte(nil), b...)
	time.AfterFunc(p.options.Delay, func() { send(late) })
}

func (p *Path) lost() bool {
	if p.options.Loss == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < p.options.Loss
}
