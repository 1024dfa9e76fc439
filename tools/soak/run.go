package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// soak is one run: a fleet, those who use it, and a schedule of faults.
type soak struct {
	w         *world
	fleet     *fleet
	router    *router
	operators *operators
	servers   []*server
	callers   []*caller
	log       *zap.Logger
	tasks     sync.WaitGroup // callers, reports, probes
	faults    sync.WaitGroup
}

// options describe a run.
type options struct {
	root, folder string
	seed         uint64
	length       time.Duration
	slack        float64
	log          *zap.Logger
}

// run plays a seed's schedule and returns what was seen.
func run(parent context.Context, o options) (*world, error) {
	f, err := newFleet(o.root, o.folder)
	if err != nil {
		return nil, err
	}
	w := newWorld(o.slack)
	w.limitsCold = f.limitsColdServers()
	f.onEnd = func(p *process, state string) {
		w.report("processes do not end by themselves", "%s ended: %s", p.name, state)
	}
	s := &soak{
		w: w, fleet: f, log: o.log, operators: &operators{w: w, fleet: f},
		router: &router{w: w, fleet: f, balancers: f.byRole("balancer"), inUse: f.byRole("balancer"), links: map[string]link{}},
	}
	defer f.stopAll()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if err := s.start(ctx); err != nil {
		return w, err
	}
	s.play(ctx, schedule(o.seed, o.length))
	s.recover(ctx)
	cancel()
	s.tasks.Wait()
	return w, parent.Err()
}

// start starts the fleet and waits until it serves.
func (s *soak) start(ctx context.Context) error {
	for i, p := range s.fleet.byRole("agent") {
		b, err := newServer(s.w, s.fleet, p, i)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, b)
		go b.serve()
		s.tasks.Go(func() { b.sendReports(ctx) })
	}
	for _, p := range s.fleet.processes {
		if err := s.fleet.start(p, true); err != nil {
			return err
		}
	}
	s.tasks.Go(func() { s.w.watch(ctx.Done()) })
	s.tasks.Go(func() { s.router.probe(ctx) })
	for i := range callerCount {
		if err := s.addCaller(i); err != nil {
			return err
		}
	}
	s.operators.configure(ctx)
	s.awaitService(ctx)
	for _, c := range s.callers {
		for _, r := range lasting {
			s.tasks.Go(func() { c.runLong(ctx, r) })
			s.tasks.Go(func() { c.runShort(ctx, r) })
		}
		s.tasks.Go(func() { c.runShort(ctx, routeRare) })
	}
	s.tasks.Go(func() { s.operators.readRepeatedly(ctx) })
	return nil
}

func (s *soak) addCaller(i int) error {
	addr := netip.AddrFrom4([4]byte{127, 0, 0, byte(firstCaller + i)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.fleet.port(addr, portPackets)))
	if err != nil {
		return errProcess.Wrap(err, "socket of caller %d", i)
	}
	c := &caller{w: s.w, router: s.router, addr: addr, conn: conn, index: i, flows: map[uint16]*callerFlow{}}
	s.callers = append(s.callers, c)
	go c.read()
	return nil
}

// close closes the sockets of callers and backend servers.
func (s *soak) close() {
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
	for _, b := range s.servers {
		_ = b.conn.Close()
	}
}

// awaitService waits until every caller is answered on every lasting route. Beyond the
// bound, it reports a broken promise.
func (s *soak) awaitService(ctx context.Context) {
	start := time.Now()
	for _, c := range s.callers {
		for _, r := range lasting {
			for ctx.Err() == nil && c.observe(time.Now(), c.askOnce(r)) != done {
				if time.Since(start) > s.w.bound(recoveryBound) {
					s.w.report("service returns after the last fault", "%s is not answered on %s after %s", c.addr, r.name, s.w.bound(recoveryBound))
					return
				}
			}
		}
	}
	s.log.Info("Service is there.", zap.Duration("after", time.Since(start)))
}

// play plays a schedule and returns once its last fault has ended.
func (s *soak) play(ctx context.Context, faults []Fault) {
	start := time.Now()
	for i, f := range faults {
		time.Sleep(time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		if loss := len(faults) - 1; i < loss && i >= loss-finalOrders {
			s.playFault(ctx, f) // is acknowledged when the loss begins
			continue
		}
		s.faults.Go(func() { s.playFault(ctx, f) })
	}
	s.faults.Wait()
}

// playFault plays one fault and returns once it has ended.
func (s *soak) playFault(ctx context.Context, f Fault) {
	s.log.Info("Fault.", zap.Stringer("fault", f))
	from := time.Since(s.w.start)
	defer func() {
		s.w.mu.Lock()
		defer s.w.mu.Unlock()
		s.w.faultRecord = append(s.w.faultRecord, faultRecord{Fault: f, from: from, to: time.Since(s.w.start)})
	}()
	switch f.Kind {
	case configure:
		s.operators.configure(ctx)
	case evacuate:
		s.operators.evacuate(ctx, f.Target, true)
		if f.For > 0 { // else it stands
			time.Sleep(f.For)
			s.operators.evacuate(ctx, f.Target, false)
		}
	case kill, pause, term, wipe:
		s.disturbProcesses(f, s.fleet.find(f.Target))
	case killControl:
		s.disturbProcesses(f, s.fleet.byRole("control")...)
	case killAll:
		s.disturbProcesses(f, s.fleet.processes...)
	case lossy, cut:
		defer s.w.disturb(f.Target)()
		l := link{lossShare: 1}
		if f.Kind == lossy {
			l = link{lossShare: 0.2, delay: 100 * time.Millisecond}
		}
		s.router.setLink(f.Target, l)
		time.Sleep(f.For)
		s.router.setLink(f.Target, link{})
	default:
		s.disturbServer(ctx, f)
	}
}

// disturbProcesses kills, stops or pauses processes at the same time, then restores them.
func (s *soak) disturbProcesses(f Fault, processes ...*process) {
	var all sync.WaitGroup
	for _, p := range processes {
		end := s.w.disturb(p.name)
		all.Go(func() {
			defer end()
			s.disturbProcess(f, p)
		})
	}
	all.Wait()
}

func (s *soak) disturbProcess(f Fault, p *process) {
	if f.Kind == pause {
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(f.For)
		p.signal(syscall.SIGCONT, false)
		return
	}
	if f.Kind == term {
		s.fleet.terminate(p)
	} else {
		s.fleet.hold(p)
	}
	if f.Kind == wipe {
		_ = os.RemoveAll(filepath.Join(s.fleet.folder, "data-"+p.name)) // what is left is an older disk
	}
	time.Sleep(f.For)
	if err := s.fleet.release(p); err != nil {
		s.w.report("processes start", "%s: %v", p.name, err)
	}
}

func (s *soak) disturbServer(ctx context.Context, f Fault) {
	var b *server
	for _, b = range s.servers {
		if b.name == f.Target {
			break
		}
	}
	if f.Kind != drain { // a drain is no fault: its flows are kept
		defer s.w.disturb(b.name)()
	}
	switch f.Kind {
	case drain:
		b.set(func() { b.draining = true })
		time.Sleep(f.For)
		b.leave(ctx)
		time.Sleep(500 * time.Millisecond)
		b.startAgain(f.Same)
	case crash:
		b.die()
		time.Sleep(f.For)
		b.startAgain(f.Same)
	case hang:
		b.set(func() { b.hanging = true })
		time.Sleep(f.For)
		b.set(func() { b.hanging = false })
	case slow:
		b.set(func() { b.slow = true })
		time.Sleep(f.For)
		b.set(func() { b.slow = false })
	}
}

// recover checks what must hold after the last fault.
func (s *soak) recover(ctx context.Context) {
	defer s.close()
	s.awaitService(ctx)
	for _, p := range s.fleet.byRole("control") {
		if !s.eventually(ctx, func() bool { return s.operators.readBack(ctx, p) }) {
			s.w.report("the document can be read after the last fault", "%s returns none after %s", p.name, s.w.bound(recoveryBound))
		}
		var listed []string
		want := s.w.evacuated()
		if !s.eventually(ctx, func() (ok bool) {
			listed, ok = s.operators.evacuations(ctx, p)
			return ok && slices.Equal(listed, want)
		}) {
			s.w.report("an acknowledged evacuation or its end is never lost", "%s lists %v, ordered were %v", p.name, listed, want)
		}
	}
	time.Sleep(2 * time.Second) // callers go on: their flows are judged to the end
}

// eventually polls until ok returns true, for recoveryBound at most. It gives up, and
// returns true, when ctx ends: nothing is known then.
func (s *soak) eventually(ctx context.Context, ok func() bool) bool {
	for deadline := time.Now().Add(s.w.bound(recoveryBound)); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if ctx.Err() != nil || ok() {
			return true
		}
	}
	return false
}

// tempFolder returns a new folder for a run.
func tempFolder(seed uint64) (string, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", errProcess.Wrap(err, "no folder")
	}
	return folder, nil
}
