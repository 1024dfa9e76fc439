package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["incomplete"] = playIncomplete }

// playIncomplete sends a config of which only the version and the limits are left.
func playIncomplete(f *fleet, trouble bool) (int, string) {
	d, err := startDeployment(f)
	if err != nil {
		return unrun, err.Error()
	}
	defer d.stop()
	var flows []*flow
	for i := range 6 {
		fl := d.users.newFlow(d.route)
		if err := fl.open(); err != nil {
			return unrun, "a flow does not open: " + err.Error()
		}
		if _, err := fl.request(fmt.Sprintf("first-%d", i), 1500*time.Millisecond); err != nil {
			return unrun, "a first request has no answer: " + err.Error()
		}
		flows = append(flows, fl)
	}
	body := config(f.routeHost(), 2, "desk")
	if trouble {
		body = []byte(`{"version":2,"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	}
	status, answer := d.op.call("PUT", f.seeds[0], "/configuration", body)
	f.rec.add("operator: PUT %s -> %d %s", body, status, answer)
	time.Sleep(3 * time.Second) // configuration_apply_ms
	inForce, _, read := d.op.get(f.seeds[1])
	f.rec.add("operator: read back %s", read)
	answered := 0
	for i, fl := range flows {
		id := fmt.Sprintf("second-%d", i)
		_, err := fl.request(id, 1500*time.Millisecond)
		if err == nil {
			answered++
		}
	}
	opened := 0
	for range 6 {
		err := d.users.newFlow(d.route).open()
		if err == nil {
			opened++
		}
		if !errors.Is(err, errReset) && err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	seen := fmt.Sprintf("status %d, version %d in force, %d of %d requests on open flows answered, %d of 6 new flows opened", status, inForce, answered, len(flows), opened)
	switch {
	case trouble && status == 200:
		return broken, "a config without routes and services was acknowledged: " + seen
	case trouble && inForce == 2:
		return broken, "a config without routes and services is in force: " + seen
	case answered < len(flows) || opened < 6:
		return unrun, seen
	}
	return held, seen
}
