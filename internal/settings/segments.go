package settings

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/inifile"
)

// Defaults and bounds of the settings of mode segment.
const (
	maxDelay         = time.Minute
	maxTick          = time.Second
	maxPort          = 65535
	defaultLeaveTime = 2 * time.Second
	defaultPatience  = 3 * time.Second
)

// join reads where control is. The key port replaces the ports of control, for
// platforms that list other addresses of the same VMs.
func (p *parser) join(out *Process, r *inifile.Reader) {
	out.Join.Control = r.Addrs("control")
	if port := r.Int("port", 0, 0, maxPort); port > 0 {
		out.Join.Control = withPort(out.Join.Control, port)
	}
	out.Join.Retry = r.Duration("retry", 0, 0, maxDelay)
	out.Join.RetryMax = r.Duration("retry_max", 0, 0, maxDelay)
	out.Join.Dial = r.Duration("dial", 0, 0, maxDelay)
	out.Join.Silence = r.Duration("silence", 0, 0, maxDelay)
}

func withPort(addrs []netip.AddrPort, port int) []netip.AddrPort {
	out := make([]netip.AddrPort, len(addrs))
	for i, addr := range addrs {
		out[i] = netip.AddrPortFrom(addr.Addr(), uint16(port))
	}
	return out
}

// founders makes the processes of [join] control the replicas of a new cluster,
// where this one is among them. Their names are their addresses.
func (p *parser) founders(out *Process, r *inifile.Reader) {
	if r.Enum("found", "no", "yes", "no") == "no" {
		return
	}
	if r.Has("peers") {
		r.Fail("found", "the founders are either peers or the processes of [join] control")
		return
	}
	for _, addr := range out.Join.Control {
		if addr == out.Control.Listen {
			out.Control.Peers = founding(out.Join.Control)
			return
		}
	}
}

func founding(addrs []netip.AddrPort) []Peer {
	peers := make([]Peer, len(addrs))
	for i, addr := range addrs {
		peers[i] = Peer{Name: addr.String(), Addr: addr}
	}
	return peers
}

func (p *parser) segments(out *Process, r *inifile.Reader) {
	if !p.has("segments") {
		return
	}
	s := &Segments{
		Packets:   r.RequiredAddr("packets"),
		Callers:   r.RequiredAddr("callers"),
		LeaveTime: r.Duration("leave_time", defaultLeaveTime, 0, maxDelay),
	}
	out.Segments = s
	if !out.Has(RoleAgent) {
		return
	}
	s.Service = r.String("service", "")
	if s.Service != "" && !fleet.ValidName(s.Service) {
		r.Fail("service", "%q is not the name of a service", s.Service)
	}
	s.Backend = r.RequiredAddr("backend")
	s.Outbound = r.RequiredAddr("outbound")
	s.Patience = r.Duration("patience", defaultPatience, time.Millisecond, maxDelay)
	s.IdleTimeout = r.Duration("idle_timeout", defaultIdleTimeout, minIdleTimeout, maxIdleTimeout)
}

func (p *parser) adapter(out *Process, r *inifile.Reader) {
	out.Adapter = Adapter{Readiness: r.Addr("readiness"), Operators: r.Addr("operators")}
}
