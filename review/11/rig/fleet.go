package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine. Each machine has a loopback address of its own.
const (
	portInternal  = 7720 // the first of the internal range
	portInternalN = 7735 // the last of the internal range
	portControl   = 8166
	portReady     = 8167
	portPackets   = 8172
	portOutbound  = 8162
	portApp       = 8165
)

// bounds of the deployment, those of kfmora-orders.
const (
	catchUp     = 4 * time.Second
	recovery    = 12 * time.Second
	gracePeriod = 6 * time.Second
	beat        = 770 * time.Millisecond
)

// machine is one simulated machine with one process of the project.
type machine struct {
	name, class, zone, ip string
	service               string // of a side machine
	disk                  string // of a core machine
	bootstrap             bool
	cmd                   *exec.Cmd
	exited                chan struct{}
	log                   *os.File
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet holds the machines of one small deployment.
type fleet struct {
	root, dir string
	network   string // the first three numbers of all addresses
	zones     []string
	rec       *record

	mu       sync.Mutex
	machines []*machine
	seeds    []string // addresses of control
	nextIP   int
}

// newFleet returns an empty fleet with its files in a temporary folder.
func newFleet(rec *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, zones: []string{"daejeon-a", "daejeon-b", "sejong-a"}, nextIP: 10}
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		if f.isFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (f *fleet) isFree() bool {
	for _, port := range []int{portInternal, portControl, portPackets} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.10:%d", f.network, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// routeHost is the address of the routes, at which nobody listens.
func (f *fleet) routeHost() string { return f.network + ".200" }

func (f *fleet) newIP() string {
	f.nextIP++
	return fmt.Sprintf("%s.%d", f.network, f.nextIP)
}

// add makes a machine without starting its process.
func (f *fleet) add(name, class, zone, service string) *machine {
	m := &machine{name: name, class: class, zone: zone, ip: f.newIP(), service: service, bootstrap: true}
	if class == "core" {
		m.disk = filepath.Join(f.dir, name)
	}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return m
}

// templates of the deploy file, by class of machine.
var templates = map[string]string{"frontend": "deploy/balancer.ini", "side": "deploy/agent.ini", "core": "deploy/control.ini"}

// settings fills in the template of a machine's role.
func (f *fleet) settings(m *machine) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(f.root, templates[m.class]))
	if err != nil {
		return nil, err
	}
	yes, no := "yes", ""
	if !m.bootstrap {
		yes, no = "", "no"
	}
	pairs := []string{
		"{{#bootstrap}}yes{{/bootstrap}}", yes, "{{^bootstrap}}no{{/bootstrap}}", no,
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(f.zones, ","),
		"{{node_name}}", m.name, "{{zone}}", m.zone, "{{ip_address}}", m.ip, "{{data_directory}}", m.disk,
		"{{internal_port_range.0}}", fmt.Sprint(portInternal), "{{internal_port_range.1}}", fmt.Sprint(portInternalN),
		"{{seeds}}", strings.Join(f.seeds, ","), "{{fault_tolerance.machines}}", "1",
		"{{bounds.warmup_overshoot}}", "", "{{bounds.warmup_slack}}", "",
		"{{listen.control}}", m.addr(portControl), "{{listen.ready}}", m.addr(portReady),
		"{{listen.datagram_address}}", m.addr(portPackets), "{{listen.outbound}}", m.addr(portOutbound),
		"{{service}}", m.service, "{{app}}", m.addr(portApp),
	}
	out := strings.NewReplacer(pairs...).Replace(string(text))
	if strings.Contains(out, "{{") {
		return nil, fmt.Errorf("a placeholder of %s is not filled in", templates[m.class])
	}
	return []byte(out), nil
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	settings, err := f.settings(m)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, m.name+".ini")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	if m.disk != "" {
		if err := os.MkdirAll(m.disk, 0o700); err != nil {
			return err
		}
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
			return err
		}
	}
	m.cmd = exec.Command("target/fulmard", "--base", ".", "--config", path)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = f.root, m.log, m.log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "FULMARMOUNT_NODE_FILE=" + path}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.rec.add("machine %s at %s: process %d started (bootstrap %t)", m.name, m.ip, cmd.Process.Pid, m.bootstrap)
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.add("machine %s: %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// kill ends the process of a machine at once and waits for its end.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.exited
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (f *fleet) terminate(m *machine) {
	f.signal(m, syscall.SIGTERM)
	select {
	case <-m.exited:
		f.rec.add("machine %s: its process has ended", m.name)
	case <-time.After(gracePeriod):
		f.kill(m)
	}
}

// hasExited reports whether the process of a machine has ended by itself.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the files. With REVIEW_KEEP set the files stay.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.cmd != nil && !m.hasExited() {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		f.rec.add("files kept in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// logLines returns the lines of a machine's log that contain one of some texts.
func (f *fleet) logLines(m *machine, texts ...string) []string {
	b, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range bytes.Lines(b) {
		s := strings.TrimSpace(string(line))
		if slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(s, t) }) {
			out = append(out, s)
		}
	}
	return out
}
