package main

import (
	"fmt"
	"sync"
	"time"
)

// reusedAddress replaces hosts of service order-desk one after the other, as planned work, and
// lets the addresses of those that are gone go to new hosts of service catalogue-hall.
func reusedAddress(f *fleet, trouble bool) int {
	const desk, hall = "127.99.0.1:8443", "127.99.0.2:8443"
	f.controls = []int{11, 12, 13}
	balancers := []int{21, 22}
	for _, m := range f.controls {
		if f.start("control", fmt.Sprintf("control-%d", m), m, "", true) != nil {
			return noRun
		}
	}
	for _, m := range balancers {
		if f.start("balancer", fmt.Sprintf("balancer-%d", m), m, "", true) != nil {
			return noRun
		}
	}
	startMachine := func(id, service string, m int, bootstrap bool) *host {
		if f.start("agent", fmt.Sprintf("agent-%s", id), m, service, bootstrap) != nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond) // the host starts once its machine's daemon runs
		h, err := f.startHost(id, service, m)
		if err != nil {
			f.record.printf("%v", err)
			return nil
		}
		return h
	}
	var desks []*host
	for i := range 12 {
		h := startMachine(fmt.Sprintf("i-desk-%d", i), "order-desk", 31+i, true)
		if h == nil {
			return noRun
		}
		desks = append(desks, h)
	}
	for i := range 2 {
		if startMachine(fmt.Sprintf("i-hall-%d", i), "catalogue-hall", 46+i, true) == nil {
			return noRun
		}
	}
	if !f.put(deskAndHall(1, desk, hall), 20*time.Second) {
		return noRun
	}
	for _, m := range balancers {
		if !f.waitReady(m, 20*time.Second) {
			return noRun
		}
	}
	time.Sleep(5 * time.Second)
	f.record.printf("the fleet is up: 12 hosts of order-desk, 2 hosts of catalogue-hall")

	const (
		drainTime  = 3500 * time.Millisecond // drain_ms and a little longer
		termDelay  = 1500 * time.Millisecond // from the end of a host to SIGTERM for its daemon
		reuseAfter = 2 * time.Second         // reuse_after_s
		releaseGap = 1200 * time.Millisecond
		replaced   = 6
	)
	// replace drains a host of order-desk until it ends, takes its machine away and lets a new
	// machine of catalogue-hall have the address.
	replace := func(i int) bool {
		h := desks[i]
		if startMachine(fmt.Sprintf("i-desk-%d", 12+i), "order-desk", 51+i, false) == nil {
			return false
		}
		h.setState("draining")
		f.record.printf("release: a new host of order-desk has started; host %s says draining, acknowledged: %v", h.id, h.report())
		time.Sleep(drainTime)
		status, _ := call("DELETE", "http://"+f.addr(h.machine, f.ports.control)+"/instances/"+h.id, "")
		h.crash()
		goneAt := time.Now()
		f.record.printf("release: host %s sent DELETE, answered with %d, and has ended", h.id, status)
		time.Sleep(termDelay)
		f.terminate("agent-"+h.id, 6*time.Second)
		f.record.printf("platform: the daemon beside %s got SIGTERM and has ended", h.id)
		time.Sleep(time.Until(goneAt.Add(reuseAfter)))
		machine := h.machine
		if !trouble {
			machine = 61 + i // an address that nobody had before
		}
		added := startMachine(fmt.Sprintf("i-hall-%d", 2+i), "catalogue-hall", machine, false)
		if added == nil {
			return false
		}
		f.record.printf("platform: a machine of catalogue-hall starts at %s, host %s", f.ip(machine), added.id)
		return true
	}

	c, err := f.startConsumer(91, hall, func(port uint16) int { return balancers[int(port)%2] })
	if err != nil {
		return noRun
	}
	var mu sync.Mutex
	var flows []*flow
	done := make(chan struct{})
	var wg sync.WaitGroup
	use := func(fl *flow, n int) {
		for i := 0; ; i++ {
			server, err := fl.request("GET", fmt.Sprintf("q-%d-%d", n, i), 1500*time.Millisecond)
			if fl.server == "" {
				fl.server = server
			}
			f.record.quiet("flow %d: request %d, answer of %q, error %v", n, i, server, err)
			if fl.wasReset {
				f.record.printf("flow %d at host %s: the consumer got a reset, %.1f s after the flow opened", n, fl.server, time.Since(fl.openedAt).Seconds())
				return
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			fl, err := c.open()
			if err != nil {
				f.record.quiet("flow %d did not open: %v", n, err)
				continue
			}
			mu.Lock()
			flows = append(flows, fl)
			count := len(flows)
			mu.Unlock()
			wg.Go(func() { use(fl, n) })
			if count >= 1200 {
				return
			}
		}
	})
	var release sync.WaitGroup
	failed := false
	for i := range replaced {
		release.Go(func() { failed = !replace(i) || failed })
		time.Sleep(releaseGap)
	}
	release.Wait()
	time.Sleep(4 * time.Second)
	close(done)
	wg.Wait()
	lost := map[string]int{}
	opened := map[string]int{}
	for _, fl := range flows {
		opened[fl.server]++
		if fl.wasReset && fl.server != "" { // its host has answered before
			lost[fl.server]++
		}
	}
	if failed {
		return noRun
	}
	f.record.printf("flows opened: %v; cut by a reset that no host had sent: %v", opened, lost)
	if len(lost) > 0 {
		f.record.printf("FLOW is broken")
		return broken
	}
	return held
}

func deskAndHall(version int, desk, hall string) string {
	route := func(name, addr, service string) string {
		ip, port, _ := cutAddr(addr)
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/%s/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":%q,"max_attempts":2}`,
			name, ip, port, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_check_path":"/health","flow_limit":2000,"protocol":"h1","tls":false}`, name)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, route("r-1", desk, "order-desk"), route("r-2", hall, "catalogue-hall"), service("order-desk"), service("catalogue-hall"))
}
