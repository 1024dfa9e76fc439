package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarmount.org/fulmarmount/platform/platformtest"
)

// errProcess is the error type for processes that cannot be run.
var errProcess = errs.NewType("process")

// The last bytes of the loopback addresses that stand for VMs.
const (
	firstControl  = 101
	firstBalancer = 111
	firstAgent    = 121
	firstCaller   = 151
)

// The indexes of a VM's ports in fleet.ports.
const (
	portPackets = iota
	portReady
	portOperators
	portOutbound
	portBackend
	portPeers
	portAdmin
	portCount
)

// stopTimeout is the time after SIGTERM before a process is killed, as on the users'
// platform.
const stopTimeout = 6 * time.Second

// process is one real process of the fleet.
type process struct {
	name, role, zone, service string
	addr                      netip.Addr

	holding sync.Mutex // protects holds and the starts that follow from it
	holds   int        // faults that keep the process down

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed once cmd has ended
	expected bool          // the end of cmd is expected
}

// fleet runs the processes, each on its own loopback address, as deploy/ configures them.
type fleet struct {
	root, folder string
	ports        [portCount]uint16
	processes    []*process
	spawn        chan func()
	onEnd        func(p *process, state string) // a process has ended by itself
}

func newFleet(root, folder string) (*fleet, error) {
	f := &fleet{root: root, folder: folder, spawn: make(chan func())}
	go f.runSpawner()
	for i := range f.ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		f.ports[i] = port
	}
	for i := range controlCount {
		f.add("control", i, firstControl, i%zoneCount)
	}
	for i := range balancerCount {
		f.add("balancer", i, firstBalancer, i%zoneCount)
	}
	for i := range agentCount {
		f.add("agent", i, firstAgent, i%zoneCount).service = serviceOf(i)
	}
	return f, f.build()
}

// serviceOf returns the service of an agent's backend server.
func serviceOf(agent int) string {
	if agent/zoneCount == agentsPerZone-1 {
		return "hall"
	}
	return "desk"
}

func (f *fleet) add(role string, i, first, zone int) *process {
	p := &process{
		name: fmt.Sprint(role, "-", i), role: role, zone: zoneName(zone),
		addr: netip.AddrFrom4([4]byte{127, 0, 0, byte(first + i)}), service: "desk",
	}
	f.processes = append(f.processes, p)
	return p
}

// runSpawner starts processes from one thread that lives as long as the program: the
// kernel kills them when that thread ends.
func (f *fleet) runSpawner() {
	runtime.LockOSThread()
	for start := range f.spawn {
		start()
	}
}

// Listening ports are below those that the kernel gives to sockets without one, so that
// no such socket can hold the port of a process that restarts.
const (
	lowestPort  = 20_000
	highestPort = 32_000
	portTries   = 100
)

// freePort returns a port that is free for TCP and UDP on all addresses.
func freePort() (uint16, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if isFree(fmt.Sprint(":", port)) {
			return uint16(port), nil
		}
	}
	return 0, errProcess.New("none of %d ports is free", portTries)
}

func isFree(addr string) bool {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	conn, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (f *fleet) build() error {
	bin, keys := filepath.Join(f.folder, "target"), filepath.Join(f.folder, "target", "keys")
	if err := runCommand(f.root, "go", "build", "-o", bin+"/", "./cmd/..."); err != nil {
		return err
	}
	ctl := filepath.Join(bin, "fulmarctl")
	if err := runCommand(f.root, ctl, "keys", "--dir", keys, "init"); err != nil {
		return err
	}
	for _, role := range []string{"balancer", "agent", "control", "operator"} {
		if err := runCommand(f.root, ctl, "keys", "--dir", keys, "issue", "--roles", role, role); err != nil {
			return err
		}
	}
	return nil
}

func runCommand(dir string, args ...string) error {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return errProcess.Wrap(err, "%v: %s", args, out)
	}
	return nil
}

func (f *fleet) port(addr netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(addr, f.ports[port])
}

func (f *fleet) find(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *fleet) byRole(role string) (out []*process) {
	for _, p := range f.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	section     = regexp.MustCompile(`\{\{([#^])([a-z]+)\}\}(.*?)\{\{/[a-z]+\}\}`)
)

// settings renders the template of a process as the users' platform does.
func (f *fleet) settings(p *process, bootstrap bool) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", p.role+".ini"))
	if err != nil {
		return "", errProcess.Wrap(err, "no template for %s", p.role)
	}
	var seeds, zones []string
	for _, c := range f.byRole("control") {
		seeds = append(seeds, f.port(c.addr, portOperators).String())
	}
	for i := range zoneCount {
		zones = append(zones, zoneName(i))
	}
	values := map[string]string{
		"node_name": p.name, "zone": p.zone, "ip_address": p.addr.String(), "seeds": strings.Join(seeds, ","),
		"data_directory":        filepath.Join(f.folder, "data-"+p.name),
		"internal_port_range.0": fmt.Sprint(f.ports[portPeers]), "internal_port_range.1": fmt.Sprint(f.ports[portAdmin]),
		platformtest.PacketAddress: f.port(p.addr, portPackets).String(), "listen.ready": f.port(p.addr, portReady).String(),
		"listen.control": f.port(p.addr, portOperators).String(), "listen.outbound": f.port(p.addr, portOutbound).String(),
		"app": f.port(p.addr, portBackend).String(), "service": p.service, "fault_tolerance.machines": "1",
		platformtest.WarmupOvershoot: "1", platformtest.WarmupSlack: fmt.Sprint(coldFlowLimit - coldRequestRate),
	}
	rendered := section.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := section.FindStringSubmatch(match)
		switch {
		case parts[2] == "zones":
			return strings.Join(zones, ",")
		case (parts[1] == "#") == bootstrap:
			return parts[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(rendered, func(match string) string {
		return values[placeholder.FindStringSubmatch(match)[1]]
	}), nil
}

// limitsColdServers reports whether the templates pass on the bounds of cold backend
// servers.
func (f *fleet) limitsColdServers() bool {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "control.ini"))
	return err == nil && strings.Contains(string(text), "{{"+platformtest.WarmupSlack+"}}")
}

// start starts a process. The log of all its lives is one file.
func (f *fleet) start(p *process, bootstrap bool) error {
	text, err := f.settings(p, bootstrap)
	if err != nil {
		return err
	}
	config := filepath.Join(f.folder, p.name+".ini")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return errProcess.Wrap(err, "settings of %s", p.name)
	}
	output, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errProcess.Wrap(err, "log of %s", p.name)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(filepath.Join(f.folder, "target", "fulmard"), "--base", f.folder, "--config", config)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errProcess.Wrap(err, "cannot start %s", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done, p.expected = cmd, make(chan struct{}), false
	go f.await(p, cmd, p.done)
	return nil
}

// await reports a process that ends without having been told to.
func (f *fleet) await(p *process, cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	close(done)
	if !expected {
		f.onEnd(p, fmt.Sprint(err))
	}
}

// signal sends a signal. The end of the process is expected from then on if ends is set.
func (p *process) signal(s syscall.Signal, ends bool) (done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ends
	_ = p.cmd.Process.Signal(s) // an ended process is reported by await
	return p.done
}

// hold kills a process and keeps it down until release. Several faults may hold it.
func (f *fleet) hold(p *process) {
	p.holding.Lock()
	defer p.holding.Unlock()
	p.holds++
	<-p.signal(syscall.SIGKILL, true)
}

// release starts a process again if no other fault holds it.
func (f *fleet) release(p *process) error {
	p.holding.Lock()
	defer p.holding.Unlock()
	if p.holds--; p.holds > 0 {
		return nil
	}
	return f.start(p, false)
}

// terminate stops a process gracefully, or kills it after stopTimeout, and holds it.
func (f *fleet) terminate(p *process) {
	done := p.signal(syscall.SIGTERM, true)
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
	f.hold(p)
}

// stopAll kills every process, waits for its end and removes the programs.
func (f *fleet) stopAll() {
	var ends []<-chan struct{}
	for _, p := range f.processes {
		p.mu.Lock()
		isStarted := p.cmd != nil
		p.mu.Unlock()
		if isStarted {
			ends = append(ends, p.signal(syscall.SIGKILL, true))
		}
	}
	for _, done := range ends {
		<-done
	}
	close(f.spawn)
	_ = os.RemoveAll(filepath.Join(f.folder, "target")) // programs and keys; what is left is harmless
}
