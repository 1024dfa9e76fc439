package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["stepped"] = playStepped }

// clockLead is how far ahead the time of day of a machine is until it jumps back.
const clockLead = 1200 * time.Millisecond

// playStepped adds a host with its machine, and stops and starts the daemon beside it 0.8 s
// after the host's start, as planned work. The time of day of the machine was ahead when
// the host started, and has jumped back before the daemon starts again.
func playStepped(f *fleet, trouble bool) (int, string) {
	d, err := startDeployment(f)
	if err != nil {
		return unrun, err.Error()
	}
	defer d.stop()
	f.rec.add("scale_out: a machine with its daemon, and a host beside it")
	m := f.add("side-new", "side", f.zones[0], "desk")
	m.bootstrap = false
	if err := f.start(m); err != nil {
		return unrun, err.Error()
	}
	time.Sleep(1500 * time.Millisecond)
	clock := time.Duration(0)
	if trouble {
		clock = clockLead
		f.rec.add("the time of day of %s is ahead by %v", m.name, clock)
	}
	begun := time.Now()
	h, err := startHost(f, m, "i-new", clock)
	if err != nil {
		return unrun, err.Error()
	}
	d.hosts = append(d.hosts, h)
	var flows []*flow
	for i := 0; time.Since(begun) < 700*time.Millisecond && h.openFlows() < 4; i++ {
		time.Sleep(8 * time.Millisecond)
		fl := d.users.newFlow(d.route)
		if fl.open() != nil {
			continue
		}
		if _, err := fl.request(fmt.Sprintf("first-%d", i), 300*time.Millisecond); err == nil {
			flows = append(flows, fl)
		}
	}
	if h.openFlows() == 0 {
		return unrun, "the new host has got no flow"
	}
	time.Sleep(time.Until(begun.Add(800 * time.Millisecond)))
	if trouble {
		f.rec.add("the time of day of %s jumps back by %v", m.name, clock)
	}
	f.rec.add("planned: the daemon of %s is stopped and started; its host holds %d flows", m.name, h.openFlows())
	f.terminate(m)
	time.Sleep(50 * time.Millisecond)
	if err := f.start(m); err != nil {
		return unrun, err.Error()
	}
	resets, failures, asked := 0, 0, 0
	for round := range 2 { // each pause is longer than contact_window_ms and shorter than idle_timeout_ms
		time.Sleep(6 * time.Second)
		for i, fl := range flows {
			if fl == nil {
				continue
			}
			id := fmt.Sprintf("round-%d-%d", round, i)
			asked++
			_, err := fl.request(id, 1500*time.Millisecond)
			if err == nil {
				continue
			}
			flows[i] = nil
			if errors.Is(err, errReset) {
				resets++
			} else {
				failures++
			}
		}
	}
	if resets > 0 {
		return broken, fmt.Sprintf("%d open flows were reset by the system while their host lives (%d flows, %d at the new host)", resets, len(flows), h.openFlows())
	}
	if failures > 0 {
		return unrun, fmt.Sprintf("%d requests without an answer", failures)
	}
	return held, fmt.Sprintf("no open flow was reset in %d requests on %d flows, %d of them at the new host", asked, len(flows), h.openFlows())
}
