package main

import (
	"fmt"
	"math"
)

// Moment is a time of stress.
type Moment struct {
	Name string
	// Work is what must travel or be done.
	Work string
	// Daemon and Relay are the seconds that it takes at the bytes per second
	// of a daemon's budget, and at a relay's link.
	Daemon, Relay float64
	// InForce is the time until everything is in force, without the budget of
	// bytes per second.
	InForce float64
	// Mend is the design change that closes a miss.
	Mend string
}

// touched returns the services with at least one of some hosts.
func (c costs) touched(hosts float64) float64 {
	f := c.fleet
	return f.Services * (1 - math.Pow(1-hosts/f.Hosts, f.hostsPerService()))
}

// burst is a number of changed views that reach every balancer.
// Noticing them takes a time of its own.
func (c costs) burst(name, work string, views, notice float64, mend string) Moment {
	bytes := views * c.itemBytes()
	relay := c.fleet.balancersPerRelay() * bytes / linkBytes
	return Moment{
		Name:    name,
		Work:    fmt.Sprintf("%s; %s to each balancer", work, siBytes(bytes)),
		Daemon:  bytes / budgetBytes,
		Relay:   relay,
		InForce: notice + relay + views*c.adoptCPU() + warmWindow + crossRegionRTT,
		Mend:    mend,
	}
}

func (c costs) moments() []Moment {
	f := c.fleet
	zone := c.touched(f.hostsPerZone())
	hour := f.changesPerSecond() * 3600
	distinct := f.Services * (1 - math.Exp(-hour/f.Services))
	return []Moment{
		c.burst("a rack or switch lost", "40 services change", rackHosts, leaseSeconds, ""),
		c.burst("an availability zone lost", grouped(f.hostsPerZone())+" hosts, "+grouped(zone)+" services change", zone, leaseSeconds,
			"an item per zone that takes all its members out at once: one change in place of thousands"),
		c.burst("an availability zone returns", grouped(zone)+" services × 5 steps of joining and warming", 5*zone, 0,
			"the same item carries the zone's warming: five changes"),
		c.restart("a zone's balancers restart at once", f.balancersPerZone()/f.relays()),
		c.restart("all balancers restart at once", f.balancersPerRelay()),
		c.burst("regions apart for an hour, then joined", grouped(hour)+" changes, "+grouped(distinct)+" services differ", distinct, 0,
			"subscriptions by region: a balancer needs the services that its region's addresses lead to"),
		c.relayLost(),
		c.storm(),
	}
}

// restart is a number of balancers per relay that read the whole state.
func (c costs) restart(name string, perRelay float64) Moment {
	bytes := c.stateBytes()
	link := perRelay * bytes / linkBytes
	cpu := perRelay * c.Get("catchup_ms").At(c.fleet.Services) * 1e-3 / endsPerConnection
	compressed := c.Get("deflate_bytes").At(c.fleet.Services)
	return Moment{
		Name:    name,
		Work:    fmt.Sprintf("%s × %s at each relay, %s of its processor time on one core", digits(perRelay), siBytes(bytes), seconds(cpu)),
		Daemon:  bytes / budgetBytes,
		Relay:   link,
		InForce: max(link, cpu) + c.fleet.Services*c.adoptCPU() + reconnectSpread,
		Mend: fmt.Sprintf("encode each chunk once for all and deflate it: %s (`deflate_bytes`) in place of %s; subscriptions by region: a sixth of that",
			siBytes(compressed), siBytes(bytes)),
	}
}

// relayLost moves one relay's daemons to the others.
func (c costs) relayLost() Moment {
	f := c.fleet
	wait := maxLagSeconds + reconnectSpread
	missed := f.changesPerSecond() * wait
	bytes := missed * c.itemBytes()
	moved := f.balancersPerRelay() / (f.relays() - 1)
	return Moment{
		Name: "a relay lost",
		Work: fmt.Sprintf("%s balancers and %s agents more at each other relay, %s missed changes each",
			digits(moved), digits(f.agentsPerRelay()/(f.relays()-1)), digits(missed)),
		Daemon:  bytes / budgetBytes,
		Relay:   moved * bytes / linkBytes,
		InForce: wait + warmWindow + crossRegionRTT,
	}
}

// storm is the rate of single view changes that a daemon's budgets allow.
func (c costs) storm() Moment {
	byBytes := (budgetBytes - c.idleBytes()) / c.changeBytes()
	byCPU := (budgetCore - c.idleCPU()) / c.changeCPU()
	return Moment{
		Name: "a storm of view changes",
		Work: fmt.Sprintf("%s changes per second fit the daemon's bytes, %s its processor time; %s are usual",
			digits(byBytes), digits(byCPU), digits(c.fleet.changesPerSecond())),
		InForce: warmWindow + crossRegionRTT,
		Mend:    "",
	}
}
