package settings

import (
	"net/netip"
	"os"

	"fulmarmount.org/fulmarmount/internal/inifile"
)

// checkRoles reports sections without their role and roles without what they
// need.
func (p *parser) checkRoles(out *Process) {
	process := p.section("process")
	for role, section := range map[Role]string{RoleControl: "control", RoleBalancer: "balancer"} {
		switch {
		case role == RoleBalancer && out.Segments != nil:
		case out.Has(role) && !p.has(section):
			process.Fail("roles", "role %q needs section [%s]", role, section)
		case !out.Has(role) && p.has(section):
			p.section(section).Fail("", "the process does not hold role %q", role)
		}
	}
	switch {
	case out.Segments != nil && (len(out.Agents) > 0 || p.has("balancer")):
		p.section("segments").Fail("", "a process serves either mode segment or the other modes")
	case out.Has(RoleAgent) && len(out.Agents) == 0 && out.Segments == nil:
		process.Fail("roles", "role %q needs a section [agent.SERVICE]", RoleAgent)
	case !out.Has(RoleAgent) && len(out.Agents) > 0:
		p.section(agentPrefix+out.Agents[0].Service).Fail("", "the process does not hold role %q", RoleAgent)
	}
	if out.Has(RoleControl) && out.DataDir == "" {
		process.Fail("data_dir", "role %q needs a data folder", RoleControl)
	}
	if len(out.Roles) > 0 && !out.Has(RoleControl) && len(out.Join.Control) == 0 {
		p.section("join").Fail("control", "a process without role %q needs control addresses", RoleControl)
	}
	if out.Handover != "" && (len(out.Roles) > 1 || out.Has(RoleControl)) {
		process.Fail("handover", "only a process whose one role is %q or %q can hand over", RoleBalancer, RoleAgent)
	}
	p.checkKeys(out, process)
}

// checkKeys asks for keys wherever the process talks to another one.
func (p *parser) checkKeys(out *Process, process *inifile.Reader) {
	if out.TLS.Enabled() || p.has("tls") {
		return
	}
	switch {
	case out.Admin.Remote.IsValid():
		p.section("admin").Fail("remote", "remote operators need section [tls]")
	case len(out.Control.Peers) > 1:
		p.section("control").Fail("peers", "several replicas need section [tls]")
	case len(out.Roles) > 0 && len(out.Roles) < len(Roles()):
		process.Fail("roles", "section [tls] is required unless the process holds every role")
	}
}

// checkAddresses reports an address that two sockets of the process would take.
func (p *parser) checkAddresses(out *Process) {
	type socket struct {
		network string
		addr    netip.AddrPort
	}
	taken := make(map[socket]string)
	claim := func(network, section, key string, addr netip.AddrPort) {
		if !addr.IsValid() || addr.Port() == 0 {
			return
		}
		if holder, ok := taken[socket{network, addr}]; ok {
			p.section(section).Fail(key, "duplicate address %s, also of %s", addr, holder)
			return
		}
		taken[socket{network, addr}] = "[" + section + "] " + key
	}
	claim("tcp", "admin", "remote", out.Admin.Remote)
	claim("udp", "control", "listen", out.Control.Listen)
	claim("udp", "balancer", "packets", out.Balancer.Packets)
	claim("tcp", "process", "metrics", out.Metrics)
	claim("tcp", "adapter", "readiness", out.Adapter.Readiness)
	claim("tcp", "adapter", "operators", out.Adapter.Operators)
	if s := out.Segments; s != nil {
		claim("udp", "segments", "packets", s.Packets)
		if out.Has(RoleBalancer) {
			claim("udp", "segments", "callers", s.Callers)
		}
		claim("udp", "segments", "outbound", s.Outbound)
	}
	for _, agent := range out.Agents {
		claim("udp", agentPrefix+agent.Service, "packets", agent.Packets)
		claim("udp", agentPrefix+agent.Service, "requests", agent.Requests)
	}
}

// checkFiles reports key files that cannot be read.
func (p *parser) checkFiles(out *Process) {
	if !p.has("tls") {
		return
	}
	r := p.section("tls")
	files := []struct{ key, path string }{
		{"ca", out.TLS.CA}, {"cert", out.TLS.Cert}, {"key", out.TLS.Key}, {"packet_keys", out.TLS.PacketKeys},
	}
	for _, f := range files {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			r.Fail(f.key, "missing file: %s", err)
		}
	}
}
