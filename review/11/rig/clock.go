package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["clock"] = playClock }

// clockStep is how far the time of day jumps back, the default of the bench.
const clockStep = -2 * time.Second

// playClock lets a host crash soon after its start and start again under its id, while the
// time of day of its machine jumps back in between.
func playClock(f *fleet, trouble bool) (int, string) {
	d, err := startDeployment(f)
	if err != nil {
		return unrun, err.Error()
	}
	defer d.stop()
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	// The host goes down and up by turns: it crashes 1 s after a start and is up again 400 ms
	// later. The last start is after the step.
	h := d.hosts[0]
	for _, clock := range []time.Duration{0, step} {
		time.Sleep(time.Second)
		f.rec.add("host %s crashes", h.id)
		h.stop()
		time.Sleep(400 * time.Millisecond)
		if clock != 0 {
			f.rec.add("the time of day of %s jumps by %v", h.m.name, clock)
		}
		next, err := startHost(f, h.m, h.id, clock)
		if err != nil {
			return unrun, err.Error()
		}
		h, d.hosts[0] = next, next
	}
	time.Sleep(300 * time.Millisecond)
	var flows []*flow
	for i := 0; i < 200 && h.openFlows() < 4; i++ {
		fl := d.users.newFlow(d.route)
		if fl.open() != nil {
			continue
		}
		if _, err := fl.request(fmt.Sprintf("first-%d", i), 1500*time.Millisecond); err == nil {
			flows = append(flows, fl)
		}
	}
	if h.openFlows() == 0 {
		return unrun, "the host has got no flow"
	}
	f.rec.add("host %s holds %d flows", h.id, h.openFlows())
	resets, failures, asked := 0, 0, 0
	// Each pause is shorter than idle_timeout_ms, and longer than contact_window_ms after the
	// end of a step of 6 s, of which the script plays the begin alone.
	for round := range 2 {
		time.Sleep(12 * time.Second)
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
	h.mu.Lock()
	acknowledged, refused := h.statuses[200], h.statuses[409]+h.statuses[400]
	h.mu.Unlock()
	f.rec.add("host %s, born %d: %d reports acknowledged, %d refused", h.id, h.born, acknowledged, refused)
	if resets > 0 {
		return broken, fmt.Sprintf("%d of %d open flows were reset by the system while their host lives; %d of its reports were refused", resets, len(flows), refused)
	}
	if failures > 0 {
		return unrun, fmt.Sprintf("%d requests without an answer", failures)
	}
	return held, fmt.Sprintf("no open flow was reset in %d requests", asked)
}
