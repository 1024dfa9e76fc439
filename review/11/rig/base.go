package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// deployment is a running small fleet with traffic.
type deployment struct {
	f      *fleet
	core   []*machine
	fronts []*machine
	sides  []*machine
	hosts  []*host
	op     *operator
	users  *consumers
	route  netip.AddrPort
}

// hostCount is the number of hosts. One of them is less than the share of the sites that are
// named in the cases: 0.1 of the hosts flap, 0.25 are added.
const hostCount = 12

// startDeployment starts three core machines, two frontends in the consumers' zone, hosts
// of one service with their machines, and consumers, and waits until a flow opens.
func startDeployment(f *fleet) (*deployment, error) {
	d := &deployment{f: f, op: newOperator(f.rec), route: netip.MustParseAddrPort(f.routeHost() + ":8443")}
	for i, zone := range f.zones {
		d.core = append(d.core, f.add(fmt.Sprintf("core-%d", i+1), "core", zone, ""))
		f.seeds = append(f.seeds, d.core[i].addr(portControl))
	}
	for i := range 2 {
		d.fronts = append(d.fronts, f.add(fmt.Sprintf("frontend-%d", i+1), "frontend", f.zones[0], ""))
	}
	for i := range hostCount {
		d.sides = append(d.sides, f.add(fmt.Sprintf("side-%d", i+1), "side", f.zones[i%len(f.zones)], "desk"))
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	for i, m := range d.sides {
		h, err := startHost(f, m, fmt.Sprintf("i-%d", i+1), 0)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	if _, err := d.op.put(f.seeds, 1, config(f.routeHost(), 1, "desk"), 15*time.Second); err != nil {
		return nil, err
	}
	var err error
	if d.users, err = newConsumers(f, d.fronts...); err != nil {
		return nil, err
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if d.isReady() && d.users.newFlow(d.route).open() == nil {
			time.Sleep(2 * time.Second)
			return d, nil
		}
	}
	return nil, fmt.Errorf("the deployment does not serve")
}

// isReady reports whether all frontends answer the readiness probe.
func (d *deployment) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	for _, m := range d.fronts {
		response, err := client.Get("http://" + m.addr(portReady) + "/readiness")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// stop ends the hosts and the consumers.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.stop()
	}
	d.users.close()
}
