package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["writer"] = playWriter }

// playWriter sends one liveness report of another writer, whose version is a number, to the
// daemon beside a host with open flows.
func playWriter(f *fleet, trouble bool) (int, string) {
	d, err := startDeployment(f)
	if err != nil {
		return unrun, err.Error()
	}
	defer d.stop()
	const flowCount = 36
	var flows []*flow
	for i := range flowCount {
		fl := d.users.newFlow(d.route)
		if err := fl.open(); err != nil {
			return unrun, "a flow does not open: " + err.Error()
		}
		if _, err := fl.request(fmt.Sprintf("first-%d", i), 1500*time.Millisecond); err != nil {
			return unrun, "a first request has no answer: " + err.Error()
		}
		flows = append(flows, fl)
	}
	time.Sleep(time.Second)
	h := d.hosts[0]
	for _, other := range d.hosts[1:] {
		if other.opened > h.opened {
			h = other
		}
	}
	f.rec.add("host %s holds %d flows", h.id, h.opened)
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": h.m.service, "address": h.m.addr(portApp), "zone": h.m.zone, "version": 2, "slots": 4, "state": "ready",
			"warmup_remaining_ms": 0, "sequence": 40, "born": time.Now().UnixMilli(),
		})
		status := h.call(http.MethodPut, "/instances/w-77", body)
		f.rec.add("another writer: PUT /instances/w-77 %s at the daemon beside %s -> %d", body, h.id, status)
	}
	time.Sleep(5 * time.Second) // a pause between two requests, less than idle_timeout_ms
	resets, failures := 0, 0
	for i, fl := range flows {
		id := fmt.Sprintf("second-%d", i)
		_, err := fl.request(id, 1500*time.Millisecond)
		switch {
		case errors.Is(err, errReset):
			resets++
		case err != nil:
			failures++
		}
	}
	h.mu.Lock()
	held200, refused := h.statuses[200], h.statuses[409]+h.statuses[400]
	h.mu.Unlock()
	f.rec.add("host %s: %d reports acknowledged, %d refused", h.id, held200, refused)
	if resets > 0 {
		return broken, fmt.Sprintf("%d of %d open flows were reset by the system while their host lives (%d more without an answer)", resets, flowCount, failures)
	}
	if failures > 0 {
		return unrun, fmt.Sprintf("%d requests without an answer", failures)
	}
	return held, "no open flow was reset"
}
