package main

import "fmt"

// Row is one quantity that a role needs.
type Row struct {
	Quantity string
	Value    string
	// From is the working: series by ID, sizes and design constants.
	From string
	// Use and Budget are compared where Budget is not 0.
	Use, Budget float64
	// Mechanism carries the quantity.
	Mechanism string
	// Mend is the design change that closes a miss.
	Mend string
}

// verdict says how the use compares to the budget.
func verdict(use, budget float64) string {
	switch {
	case budget == 0:
		return "no budget"
	case use <= budget:
		return "within, " + percent(use/budget) + " of it"
	}
	return fmt.Sprintf("**missed, %s times it**", digits(use/budget))
}

// gcFactor is the heap that the runtime lets grow per live byte at GOGC=100.
const gcFactor = 2.0

// endsPerConnection: both ends of a measured connection are in one process.
const endsPerConnection = 2.0

// costs are what the model takes from the figures.
type costs struct {
	Figures
	fleet Fleet
}

func (c costs) slope(id string) float64 {
	_, slope := c.Get(id).Slope()
	return slope
}

// idleBytes and idleCPU are bytes and seconds of processor time per second of
// one subscription without changes.
func (c costs) idleBytes() float64 { return c.slope("idle_bytes") / wireTime.Seconds() }

func (c costs) idleCPU() float64 {
	return c.slope("idle_cpu") / endsPerConnection * 1e-6 / wireTime.Seconds()
}

// changeBytes and changeCPU are those of one view change on the wire.
func (c costs) changeBytes() float64 { return c.slope("wire_bytes") }
func (c costs) changeCPU() float64   { return c.slope("wire_cpu") / endsPerConnection * 1e-6 }

func (c costs) renewBytes() float64 { return c.slope("renew_bytes") }
func (c costs) renewCPU() float64   { return c.slope("renew_cpu") / endsPerConnection * 1e-6 }

func (c costs) connection() float64 { return c.slope("conn_heap") / endsPerConnection }

// itemBytes is a changed view among many in one batch.
func (c costs) itemBytes() float64 { return c.slope("catchup_bytes") }

// stateBytes is the whole state that a daemon without any reads.
func (c costs) stateBytes() float64 { return c.Get("catchup_bytes").At(c.fleet.Services) }

// adoptCPU is one changed view at a daemon, in a batch of many.
func (c costs) adoptCPU() float64 {
	return c.Get("catchup_ms").At(c.fleet.Services) / c.fleet.Services / endsPerConnection * 1e-3
}

func (c costs) balancer() []Row {
	f := c.fleet
	views, sink := c.Get("view_heap").At(f.Hosts), c.Get("sink_heap").At(f.Hosts)
	live := views + sink + endsPerConnection*c.connection()
	rate := f.changesPerSecond()
	bytes := c.idleBytes() + rate*c.changeBytes()
	cpu := c.idleCPU() + rate*c.changeCPU()
	return []Row{
		{"views of every service", siBytes(views), "`view_heap` at 140,000 hosts", 0, 0, "`flow.Balancer`, one immutable view per service", ""},
		{"dissemination state", siBytes(sink), "`sink_heap` at 140,000 hosts", 0, 0, "`dissemination.Store` without bodies", ""},
		{"connections to control", siBytes(endsPerConnection * c.connection()), "one in use, one fresh; `conn_heap`", 0, 0, "`peer.Pool`", ""},
		{"memory for control, live", siBytes(live), "sum", live, budgetMemory, "one copy of each view", ""},
		{"memory for control, with garbage", siBytes(live * gcFactor), "live × 2, GOGC=100", live * gcFactor, budgetMemory, "collector's default pace", "a limit on the runtime's heap (GOMEMLIMIT) at the budget, which the live part fits; subscriptions by region, a sixth of the live part"},
		{"messages received per second", digits(rate + 2*probesPerSecond), fmt.Sprintf("%s changes, probes and acknowledgements", digits(rate)), 0, 0, "batches, `dissemination.Source`", ""},
		{"bytes for control per second", siBytes(bytes), "`idle_bytes` + changes × `wire_bytes`", bytes, budgetBytes, "one delta per change, no polling of state", ""},
		{"processor time for control", percent(cpu), "`idle_cpu` + changes × `wire_cpu`, half of both ends", cpu, budgetCore, "only changed views are decoded", ""},
		{"new flows per second", digits(f.newFlowsPerDaemon()), "860,000 over 13,000", 0, 0, "no state per flow", ""},
		{"forward decision", seconds(c.Get("forward_fleet").At(f.Hosts) * 1e-9), "`forward_fleet` at 140,000 hosts", 0, 0, "`flow.Balancer.Forward`, no lock", ""},
	}
}

func (c costs) agent() []Row {
	f := c.fleet
	table := c.Get("flow_bytes").At(f.flowsPerHost())
	live := table + endsPerConnection*c.connection()
	bytes := c.idleBytes() + renewsPerSecond*c.renewBytes()
	cpu := c.idleCPU() + renewsPerSecond*c.renewCPU()
	pointers := c.Get("pointer_bytes").At(f.flowsPerHost())
	changes := f.viewsPerSecond() / f.Services
	return []Row{
		{"flows owned", grouped(f.flowsPerHost()), "180 million over 140,000 hosts", 0, 0, "`flow.Agent`, the only authority on a flow", ""},
		{"flow table", siBytes(table), "`flow_bytes`", 0, 0, "fixed-size entries, without pointers for the collector", ""},
		{"memory for control, with garbage", siBytes(live * gcFactor), "(table + two connections) × 2", live * gcFactor, budgetMemory, "an agent follows the two items of its own service", ""},
		{"messages sent per second", digits(renewsPerSecond + probesPerSecond), "announcements and probes", 0, 0, "`lease`, `dissemination.Sink`", ""},
		{"bytes for control per second", siBytes(bytes), "`idle_bytes` + `renew_bytes`", bytes, budgetBytes, "announcements go to one relay", ""},
		{"processor time for control", percent(cpu), "`idle_cpu` + `renew_cpu`, half of both ends", cpu, budgetCore, "as above", ""},
		{"changes of the own view per day", digits(changes * secondsPerDay), "views per second over 19,000 services", 0, 0, "subscription to the own service's keys", ""},
		{"pointers pushed per such change", siBytes(pointers), "`pointer_bytes` at 1,286 flows", 0, 0, "`locator.Pusher`, 16 bytes per flow that moved", ""},
	}
}

func (c costs) relay() []Row {
	f := c.fleet
	connections := f.balancersPerRelay() + f.agentsPerRelay()
	leases := c.Get("lease_heap").At(f.agentsPerRelay())
	live := c.Get("relay_heap").At(f.Hosts) + connections*c.connection() + leases
	rate := f.changesPerSecond()
	out := connections*c.idleBytes() + f.balancersPerRelay()*rate*c.changeBytes() + f.agentsPerRelay()*renewsPerSecond*c.renewBytes()
	renewals := f.agentsPerRelay() * renewsPerSecond * c.renewCPU()
	subscriptions := connections*c.idleCPU() + f.balancersPerRelay()*rate*c.changeCPU()
	return []Row{
		{"daemons served", grouped(connections), "310 balancers and 3,333 agents at each of 42 relays", 0, 0, "`dissemination.RelayOrder` spreads them, `MaxSubscribers` bounds them", ""},
		{"items held, with bodies", siBytes(c.Get("relay_heap").At(f.Hosts)), "`relay_heap` at 140,000 hosts", 0, 0, "`dissemination.Store`", ""},
		{"connections", siBytes(connections * c.connection()), "`conn_heap`", 0, 0, "one QUIC connection per daemon", ""},
		{"leases", siBytes(leases), "`lease_heap` at 3,333 hosts", 0, 0, "`lease.Registry`", ""},
		{"memory, with garbage", siBytes(live * gcFactor), "sum × 2", 0, 0, "a VM set aside", ""},
		{"messages per second", grouped(connections*2*probesPerSecond + f.agentsPerRelay()*2*renewsPerSecond + f.balancersPerRelay()*2*rate), "probes, renewals and changes with their answers", 0, 0, "renewals end here; only changes travel on", ""},
		{"bytes per second, both directions", siBytes(out), "the daemons' own, summed", out, linkBytes, "1 Gb/s link", ""},
		{"cores for renewals", digits(renewals), "`renew_cpu`", 0, 0, "one message per agent and second", ""},
		{"agents that one core renews", grouped(1 / c.renewCPU()), "one over `renew_cpu`; the lease itself is " + seconds(c.Get("lease_ns").At(f.Hosts)*1e-9) + " of it (`lease_ns`)", 0, 0, "the rest is QUIC's", ""},
		{"cores for subscriptions", digits(subscriptions), "`idle_cpu` + changes × `wire_cpu`", 0, 0, "one encoding per subscriber", ""},
	}
}

func (c costs) replica() []Row {
	f := c.fleet
	commits := f.configPerSecond()
	commitBytes := c.Get("commit_bytes").At(replicas)
	sync := c.Get("sync_us").At(1) * 1e-6
	subscribers := f.relays() + replicas - 1
	rate := f.changesPerSecond()
	cpu := commits*c.Get("commit_ns").At(replicas)*1e-9 + subscribers*rate*c.changeCPU()
	return []Row{
		{"commits per second", digits(commits), "67,000 a day", 0, 0, "`quorum`, five replicas", ""},
		{"commits per second that one disk allows", grouped(1 / sync), "`sync_us` of single commits; batches allow more", commits, 1 / sync, "one sync per batch", ""},
		{"messages between replicas", siBytes(commits*commitBytes) + "/s", "`commit_bytes` at 5 replicas", 0, 0, "pipelined appends", ""},
		{"log growth per day", siBytes(f.ConfigChangesPerDay * commandBytes), "512 B per command", 0, 0, "snapshots drop it", ""},
		{"view changes numbered per second", digits(f.viewsPerSecond()), fmt.Sprintf("%s restarts and losses a day × %v views", grouped(f.hostsWithChangesDay()), viewsPerRestart), 0, 0, "`dissemination.Root`, outside the log", ""},
		{"bytes to relays and replicas per second", siBytes(subscribers * rate * c.changeBytes()), "46 subscribers × changes × `wire_bytes`", 0, 0, "relays carry the daemons", ""},
		{"processor time of the leader", percent(cpu), "`commit_ns` + 46 × changes × `wire_cpu`", 0, 0, "a VM set aside", ""},
		{"items held, with bodies", siBytes(c.Get("relay_heap").At(f.Hosts)), "`relay_heap`", 0, 0, "`dissemination.Store`", ""},
		{"cores for renewals, as the leader takes them all today", digits(f.Hosts * renewsPerSecond * c.renewCPU()), "140,000 a second × `renew_cpu`", f.Hosts * renewsPerSecond * c.renewCPU(), vmCores, "`lease.Registry` at the leader", "leases at the relays, which pass on only what changes: 3,333 agents each, see the relay"},
	}
}

// inForce is the time from an operator's command to its effect everywhere.
func (c costs) inForce() []Row {
	sync := 2 * c.Get("sync_us").At(1) * 1e-6
	usual := sync + crossRegionRTT + warmWindow + 2*crossRegionRTT/2 + c.changeCPU()
	lost := usual + 2*2.0 // dissemination.SourceOptions.ResendAfter on both hops.
	return []Row{
		{"commit", seconds(sync + crossRegionRTT), "two syncs and a round trip of 0.3 s between regions (assumed)", 0, 0, "`quorum`", ""},
		{"gather", seconds(warmWindow), "`batchWindow`", 0, 0, "`dissemination.Source`", ""},
		{"to relay and daemon", seconds(crossRegionRTT), "two hops of half a round trip", 0, 0, "pushed, not polled", ""},
		{"in force everywhere", seconds(usual), "sum", usual, budgetInForce, "two levels", ""},
		{"in force, a batch lost on both hops", seconds(lost), "resend after 2 s on each", lost, budgetInForce, "`dissemination.Source`, resend", ""},
	}
}
