// Command rig plays the cases of review/ that are scripts. It starts the project's
// programs as separate processes, from the templates of the deploy file, on loopback
// addresses, together with small stand-ins for servers, consumers and the operator.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. They are the same on all machines, as on the platform.
type ports struct{ packets, ready, control, outbound, app, internal, admin int }

// fleet is a small deployment on loopback addresses, one address for each machine.
type fleet struct {
	dir      string // temporary folder with settings, data and output
	ports    ports
	subnet   int // third byte of the machines' addresses
	mu       sync.Mutex
	running  map[string]*exec.Cmd
	record   *record
	controls []int // machines whose control addresses are the seeds
	extra    map[string]string
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r, running: make(map[string]*exec.Cmd), subnet: 1 + os.Getpid()%200}
	for _, p := range []*int{&f.ports.packets, &f.ports.ready, &f.ports.control, &f.ports.outbound, &f.ports.app, &f.ports.internal, &f.ports.admin} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freePort() (int, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (f *fleet) ip(machine int) string { return fmt.Sprintf("127.77.%d.%d", f.subnet, machine) }

func (f *fleet) addr(machine, port int) string { return fmt.Sprintf("%s:%d", f.ip(machine), port) }

var (
	section     = regexp.MustCompile(`\{\{([#^])bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// settings fills in the template of a role as the platform does.
func (f *fleet) settings(role, name string, machine int, service string, bootstrap bool) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, f.addr(c, f.ports.control))
	}
	values := map[string]string{
		"node_name": name, "zone": "zone-a", "ip_address": f.ip(machine), "data_directory": f.dataDir(name),
		"seeds": strings.Join(seeds[:min(3, len(seeds))], ","), "internal_port_range.0": fmt.Sprint(f.ports.internal),
		"internal_port_range.1": fmt.Sprint(f.ports.admin), "listen.datagram_address": f.addr(machine, f.ports.packets),
		"listen.ready": f.addr(machine, f.ports.ready), "listen.control": f.addr(machine, f.ports.control),
		"listen.outbound": f.addr(machine, f.ports.outbound), "service": service, "app": f.addr(machine, f.ports.app),
		"fault_tolerance.machines": fmt.Sprint((len(f.controls) - 1) / 2),
	}
	out := section.ReplaceAllStringFunc(string(text), func(m string) string {
		parts := section.FindStringSubmatch(m)
		if (parts[1] == "#") == bootstrap {
			return parts[2]
		}
		return ""
	})
	out = placeholder.ReplaceAllStringFunc(out, func(m string) string { return values[placeholder.FindStringSubmatch(m)[1]] })
	return out, nil
}

func (f *fleet) dataDir(name string) string { return filepath.Join(f.dir, name+".data") }

// start starts the process of a role on a machine with the command of the deploy file.
func (f *fleet) start(role, name string, machine int, service string, bootstrap bool) error {
	text, err := f.settings(role, name, machine, service, bootstrap)
	if err != nil {
		return err
	}
	config := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(f.dataDir(name), 0o700); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/fulmard", "--base", ".", "--config", config)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name] = cmd
	return nil
}

// signal sends a signal to a process that the rig has started.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.mu.Lock()
	cmd := f.running[name]
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// kill ends a process with SIGKILL and waits for its end.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	cmd := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// terminate ends a process with SIGTERM, and with SIGKILL after the grace period.
func (f *fleet) terminate(name string, grace time.Duration) {
	f.mu.Lock()
	cmd := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-done
	}
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	var names []string
	for name := range f.running {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.kill(name)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// The operator's calls end after a second without a response.
var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the operator. Status 0 stands for no response.
func call(method, url, body string) (status int, response string) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Content-Type", "application/json")
	r, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(b)
}

// put sends a config to one control process after another until it is acknowledged or
// the time is over.
func (f *fleet) put(body string, limit time.Duration) bool {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		c := f.controls[i%len(f.controls)]
		status, _ := call("PUT", "http://"+f.addr(c, f.ports.control)+"/configuration", body)
		if status == 200 {
			return true
		}
		if status >= 400 && status < 500 {
			f.record.printf("operator: config was refused with %d", status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// get reads the config from one control process after another until one returns it.
func (f *fleet) get(limit time.Duration) (string, bool) {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		c := f.controls[i%len(f.controls)]
		status, body := call("GET", "http://"+f.addr(c, f.ports.control)+"/configuration", "")
		if status == 200 {
			return body, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", false
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// maxRunTime is below the 120 s that a script may take.
const maxRunTime = 110 * time.Second

// endEarly ends the run, with all processes that it has started, when the rig is told to
// stop or has run for maxRunTime.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		f.record.printf("stopped by signal %v", s)
	case <-time.After(maxRunTime):
		f.record.printf("stopped after %v", maxRunTime)
	}
	f.close()
	os.Exit(noRun)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(noRun)
	}
	cases := map[string]func(*fleet, bool) int{"retired-service": retiredService, "reused-address": reusedAddress}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(noRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	go f.endEarly()
	code := play(f, os.Getenv("TROUBLE") != "0")
	f.close()
	r.printf("exit %d", code)
	os.Exit(code)
}

// quiet writes to the record only.
func (r *record) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n")
}

// waitReady waits until the readiness address of a machine answers 200.
func (f *fleet) waitReady(machine int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := call("GET", "http://"+f.addr(machine, f.ports.ready)+"/readiness", ""); status == 200 {
			return true
		}
	}
	return false
}
