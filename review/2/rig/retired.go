package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// twoServices returns a config whose route leads to a service, with the services named.
func twoServices(version int, route, to string, services ...string) string {
	ip, port, _ := cutAddr(route)
	list := ""
	for i, s := range services {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"name":%q,"health_check_path":"/health","flow_limit":2000,"protocol":"h1","tls":false}`, s)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"prefix":"/%s/","kind":"safe",`+
		`"timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":%q,"max_attempts":2}],`+
		`"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, ip, port, to, list)
}

// retiredService moves a route to a new service with a config that names the old service
// no longer, while flows are open at the old service's hosts. Then a balancer is
// restarted as planned work.
func retiredService(f *fleet, trouble bool) int {
	const route = "127.99.0.1:8443"
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
	var hosts []*host
	for i, service := range []string{"desk-1", "desk-1", "desk-2", "desk-2"} {
		m := 31 + i
		if f.start("agent", fmt.Sprintf("agent-%d", m), m, service, true) != nil {
			return noRun
		}
		h, err := f.startHost(fmt.Sprintf("i-%d", m), service, m)
		if err != nil {
			f.record.printf("%v", err)
			return noRun
		}
		hosts = append(hosts, h)
	}
	if !f.put(twoServices(1, route, "desk-1", "desk-1", "desk-2"), 20*time.Second) {
		return noRun
	}
	f.record.printf("operator: version 1 acknowledged: the route leads to desk-1")
	for _, m := range balancers {
		if !f.waitReady(m, 20*time.Second) {
			return noRun
		}
	}
	time.Sleep(5 * time.Second) // the hosts have reported

	// The router hashes over the balancers in rotation.
	var mu sync.Mutex
	rotation := balancers
	router := func(port uint16) int {
		mu.Lock()
		defer mu.Unlock()
		return rotation[int(port)%len(rotation)]
	}
	setRotation := func(r []int) {
		mu.Lock()
		defer mu.Unlock()
		rotation = r
	}
	c, err := f.startConsumer(61, route, router)
	if err != nil {
		return noRun
	}
	const flowCount = 8
	var flows []*flow
	for i := 0; i < flowCount; i++ {
		fl, err := c.open()
		if err != nil {
			f.record.printf("flow %d did not open: %v", i, err)
			return noRun
		}
		server, err := fl.request("GET", fmt.Sprintf("q-%d-0", i), 1500*time.Millisecond)
		if err != nil {
			f.record.printf("flow %d: %v", i, err)
			return noRun
		}
		fl.server = server
		f.record.printf("flow %d: open at host %s through balancer %d", i, server, router(fl.port))
		flows = append(flows, fl)
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i, fl := range flows {
		wg.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(500 * time.Millisecond):
				}
				server, err := fl.request("GET", fmt.Sprintf("q-%d-%d", i, n), 1500*time.Millisecond)
				f.record.quiet("flow %d: request %d, answer of %q, error %v", i, n, server, err)
				if fl.wasReset {
					f.record.printf("flow %d at host %s: the consumer got a reset, %.1f s after the flow opened and %.1f s after its last answer",
						i, fl.server, time.Since(fl.openedAt).Seconds(), time.Since(fl.lastAnswer).Seconds())
					return
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		ok := f.put(twoServices(2, route, "desk-2", "desk-2"), 5*time.Second)
		f.record.printf("operator: version 2 acknowledged: %v: the route leads to desk-2, and desk-1 is no service any more", ok)
	} else {
		ok := f.put(twoServices(2, route, "desk-1", "desk-1", "desk-2"), 5*time.Second)
		f.record.printf("operator: version 2 acknowledged: %v: nothing moved", ok)
	}
	time.Sleep(6 * time.Second)

	// Planned work: each balancer is stopped and started again. Its readiness answer is
	// missed, so the router takes it out of rotation first.
	for i, m := range balancers {
		name := fmt.Sprintf("balancer-%d", m)
		f.record.printf("platform: SIGTERM to %s", name)
		f.signal(name, syscall.SIGTERM)
		time.Sleep(time.Second) // two misses
		setRotation([]int{balancers[1-i]})
		f.record.printf("router: %s is out of rotation", name)
		f.terminate(name, 6*time.Second)
		if f.start("balancer", name, m, "", false) != nil || !f.waitReady(m, 10*time.Second) {
			return noRun
		}
		setRotation(balancers)
		f.record.printf("router: %s is in rotation", name)
		time.Sleep(4 * time.Second)
	}
	close(done)
	wg.Wait()
	lost := 0
	for _, fl := range flows {
		if fl.wasReset {
			lost++
		}
	}
	for _, h := range hosts {
		h.mu.Lock()
		f.record.printf("host %s of %s: alive, %d flows opened, holds %d, sent no reset", h.id, h.service, h.opened, len(h.flows))
		h.mu.Unlock()
	}
	f.record.printf("%d of %d open flows got a reset that no host had sent", lost, flowCount)
	if lost > 0 {
		f.record.printf("FLOW is broken")
		return broken
	}
	return held
}
