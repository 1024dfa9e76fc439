package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/finding"
	"fulmarmount.org/fulmarmount/internal/inifile"
)

// DefaultMTU is the largest IP packet in bytes on most paths.
const DefaultMTU = 1500

// Defaults and bounds of the settings.
const (
	defaultStopTimeout   = 30 * time.Second
	maxStopTimeout       = 24 * time.Hour
	defaultMemoryLimit   = 60      // MiB
	maxMemoryLimit       = 1 << 20 // MiB
	minMTU               = 1280    // bytes, the least MTU of IPv6
	maxMTU               = 65535
	defaultReceiveBuffer = 4 << 20 // bytes
	minReceiveBuffer     = 64 << 10
	maxReceiveBuffer     = 1 << 30
	defaultSlots         = 4
	maxSlots             = 65535
	defaultIdleTimeout   = 2 * time.Minute
	minIdleTimeout       = time.Second
	maxIdleTimeout       = 7 * 24 * time.Hour
	maxPeers             = 7
	agentPrefix          = "agent."
)

// Load reads and checks the file at path, the files that it names included.
// Relative paths are taken from base, or from the file's folder where it is
// empty.
func Load(path, base string) (*Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var found finding.Findings
		found.Add(finding.Finding{File: path, Message: "cannot read the file: " + err.Error()})
		return nil, found.Err()
	}
	p := newParser(path, data)
	if base != "" {
		p.base = base
	}
	process := p.parse()
	p.checkFiles(process)
	return p.result(process)
}

// Parse reads settings from data. Relative paths are taken from the folder of
// name. It touches no file.
func Parse(name string, data []byte) (*Process, error) {
	p := newParser(name, data)
	return p.result(p.parse())
}

type parser struct {
	name string
	// base is the folder that relative paths are taken from.
	base    string
	found   finding.Findings
	file    *inifile.File
	readers map[string]*inifile.Reader
}

func newParser(name string, data []byte) *parser {
	p := &parser{name: name, base: filepath.Dir(name), readers: make(map[string]*inifile.Reader)}
	p.file = inifile.Parse(name, data, &p.found)
	return p
}

func (p *parser) result(process *Process) (*Process, error) {
	if err := p.found.Err(); err != nil {
		return nil, err
	}
	return process, nil
}

func (p *parser) parse() *Process {
	process := &Process{}
	p.process(process, p.section("process"))
	p.tls(process, p.section("tls"))
	p.admin(process, p.section("admin"))
	p.join(process, p.section("join"))
	p.control(process, p.section("control"))
	p.balancer(process, p.section("balancer"))
	p.agents(process)
	p.segments(process, p.section("segments"))
	p.adapter(process, p.section("adapter"))
	p.warmup(process, p.section("adapter"))
	p.checkRoles(process)
	p.checkAddresses(process)
	p.done()
	return process
}

// section returns a reader of the named section, empty where the file has none.
func (p *parser) section(name string) *inifile.Reader {
	if r := p.readers[name]; r != nil {
		return r
	}
	for i := range p.file.Sections {
		if p.file.Sections[i].Name == name {
			p.readers[name] = inifile.NewReader(p.file, &p.file.Sections[i], &p.found)
			return p.readers[name]
		}
	}
	return inifile.NewReader(p.file, &inifile.Section{Name: name}, &p.found)
}

func (p *parser) has(name string) bool { return p.readers[name] != nil }

func (p *parser) process(out *Process, r *inifile.Reader) {
	out.Name = r.Name("name")
	out.Zone = r.Name("zone")
	out.DataDir = p.path(r.String("data_dir", ""))
	out.LogLevel = r.Enum("log_level", "info", "debug", "info", "warn", "error")
	out.StopTimeout = r.Duration("stop_timeout", defaultStopTimeout, 0, maxStopTimeout)
	out.MemoryLimit = r.Int("memory_limit", defaultMemoryLimit, 0, maxMemoryLimit)
	out.Handover = p.path(r.String("handover", ""))
	out.Metrics = r.Addr("metrics")
	for _, item := range r.List("roles") {
		role := Role(item)
		switch {
		case !slices.Contains(Roles(), role):
			r.Fail("roles", "%q is none of balancer, agent, control", item)
		case out.Has(role):
			r.Fail("roles", "duplicate role %q", item)
		default:
			out.Roles = append(out.Roles, role)
		}
	}
	if !r.Has("roles") {
		r.Fail("roles", "a value is required")
	}
	if out.Has(RoleControl) && !r.Has("memory_limit") {
		// Control holds the fleet's leases, which outgrow a daemon's budget.
		out.MemoryLimit = 0
	}
}

func (p *parser) tls(out *Process, r *inifile.Reader) {
	read := r.String
	if p.has("tls") {
		read = func(key, _ string) string { return r.Required(key) }
	}
	out.TLS = TLS{
		CA:         p.path(read("ca", "")),
		Cert:       p.path(read("cert", "")),
		Key:        p.path(read("key", "")),
		PacketKeys: p.path(read("packet_keys", "")),
	}
}

func (p *parser) admin(out *Process, r *inifile.Reader) {
	out.Admin.Socket = p.path(r.String("socket", ""))
	out.Admin.Remote = r.Addr("remote")
	if len(out.Admin.Socket) > maxSocketPath {
		r.Fail("socket", "path is longer than %d bytes", maxSocketPath)
	}
}

// maxSocketPath is the room for a path in a unix socket address, in bytes.
const maxSocketPath = 107

func (p *parser) control(out *Process, r *inifile.Reader) {
	if !p.has("control") {
		return
	}
	out.Control.Listen = r.RequiredAddr("listen")
	out.Control.Cluster = r.Name("cluster")
	for _, item := range r.List("peers") {
		p.peer(out, r, item)
	}
	p.founders(out, r)
	out.Control.Join = r.Enum("join", "no", "yes", "no") == "yes"
	out.Control.Tolerate = r.Int("tolerate", 0, 0, maxPeers/2)
	out.Control.Tick = r.Duration("tick", 0, 0, maxTick)
	out.Control.Collect = r.Duration("collect", 0, 0, maxDelay)
	if len(out.Control.Peers) > maxPeers {
		r.Fail("peers", "%d replicas are more than %d", len(out.Control.Peers), maxPeers)
	}
	named := func(peer Peer) bool { return peer.Name == out.Name }
	if r.Has("peers") && !slices.ContainsFunc(out.Control.Peers, named) {
		r.Fail("peers", "this VM, %q, is not among the peers", out.Name)
	}
}

func (p *parser) peer(out *Process, r *inifile.Reader, item string) {
	name, text, ok := strings.Cut(item, "=")
	name, text = strings.TrimSpace(name), strings.TrimSpace(text)
	if !ok || !fleet.ValidName(name) {
		r.Fail("peers", "%q is not of the form name=address:port", item)
		return
	}
	addr, err := inifile.ParseAddr(text)
	if err != nil {
		r.Fail("peers", "peer %q: %s", name, err)
		return
	}
	for _, other := range out.Control.Peers {
		if other.Name == name {
			r.Fail("peers", "duplicate peer %q", name)
			return
		}
		if other.Addr == addr {
			r.Fail("peers", "duplicate address %s", addr)
			return
		}
	}
	out.Control.Peers = append(out.Control.Peers, Peer{Name: name, Addr: addr})
}

func (p *parser) balancer(out *Process, r *inifile.Reader) {
	if !p.has("balancer") {
		return
	}
	out.Balancer = Balancer{
		Packets:       r.RequiredAddr("packets"),
		Bind:          Bind(r.Enum("bind", string(BindAddresses), string(BindAddresses), string(BindWildcard))),
		MTU:           r.Int("mtu", DefaultMTU, minMTU, maxMTU),
		ReceiveBuffer: r.Int("rcvbuf", defaultReceiveBuffer, minReceiveBuffer, maxReceiveBuffer),
	}
}

func (p *parser) agents(out *Process) {
	for i := range p.file.Sections {
		name := p.file.Sections[i].Name
		service, ok := strings.CutPrefix(name, agentPrefix)
		if !ok {
			continue
		}
		r := p.section(name)
		if !fleet.ValidName(service) {
			r.Fail("", "%q is not the name of a service", service)
		}
		agent := Agent{
			Service:     service,
			ID:          r.Name("id"),
			Backend:     r.RequiredAddr("backend"),
			Packets:     r.RequiredAddr("packets"),
			Requests:    r.RequiredAddr("requests"),
			MTU:         r.Int("mtu", DefaultMTU, minMTU, maxMTU),
			Slots:       r.Int("slots", defaultSlots, 1, maxSlots),
			IdleTimeout: r.Duration("idle_timeout", defaultIdleTimeout, minIdleTimeout, maxIdleTimeout),
		}
		for _, other := range out.Agents {
			if other.ID == agent.ID && agent.ID != "" {
				r.Fail("id", "duplicate ID %q", agent.ID)
			}
		}
		out.Agents = append(out.Agents, agent)
	}
}

func (p *parser) done() {
	for i := range p.file.Sections {
		s := &p.file.Sections[i]
		if r := p.readers[s.Name]; r != nil {
			r.Done()
			continue
		}
		p.found.Add(finding.Finding{File: p.name, Line: s.Line, Section: s.Name, Message: "unknown section"})
	}
}

// path resolves a relative path against the folder of the settings file.
func (p *parser) path(value string) string {
	if value == "" || filepath.IsAbs(value) {
		return value
	}
	return filepath.Join(p.base, value)
}
