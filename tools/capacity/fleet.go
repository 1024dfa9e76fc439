package main

// Fleet is a size of deployment.
type Fleet struct {
	Daemons             float64 // balancers
	Hosts               float64 // backend servers, each with an agent
	Services            float64 // service addresses
	Flows               float64 // open at once
	NewFlowsPerSecond   float64
	Regions             float64
	Zones               float64 // availability zones in all regions
	ConfigChangesPerDay float64
	VMFailuresPerDay    float64
	RestartsPerDay      float64
	ControlVMs          float64 // VMs set aside
}

// target is the fleet that the design is held against.
var target = Fleet{
	Daemons:             13_000,
	Hosts:               140_000,
	Services:            19_000,
	Flows:               180e6,
	NewFlowsPerSecond:   860_000,
	Regions:             6,
	Zones:               12,
	ConfigChangesPerDay: 67_000,
	VMFailuresPerDay:    260,
	RestartsPerDay:      27_000,
	ControlVMs:          47,
}

// Budgets for control.
const (
	budgetCore    = 0.017    // share of a core per daemon
	budgetMemory  = 64e6     // bytes per daemon
	budgetBytes   = 20e3     // bytes per second per daemon
	budgetInForce = 17.0     // seconds until a change is in force everywhere
	secondsPerDay = 86_400.0 // seconds
)

// What the design sets.
const (
	replicas        = 5.0   // control VMs that hold the log
	viewsPerRestart = 7.0   // gone, joining, four steps of warming, ready
	rackHosts       = 40.0  // hosts lost with one rack or switch
	probesPerSecond = 0.5   // dissemination.SinkOptions.ProbeInterval is 2 s
	renewsPerSecond = 1.0   // announcements of one agent
	vmCores         = 16.0  // of a control VM, assumed
	linkBytes       = 125e6 // bytes per second of a 1 Gb/s link of a control VM
	leaseSeconds    = 3.0   // until a silent host's lease has ended
	maxLagSeconds   = 10.0  // dissemination.SinkOptions.SourceTimeout
	reconnectSpread = 1.0   // seconds, the range of the first reconnect delay
	warmWindow      = 0.05  // seconds that changes are gathered for one batch
	crossRegionRTT  = 0.3   // seconds, assumed
)

func (f Fleet) relays() float64            { return f.ControlVMs - replicas }
func (f Fleet) hostsPerService() float64   { return f.Hosts / f.Services }
func (f Fleet) balancersPerRelay() float64 { return f.Daemons / f.relays() }
func (f Fleet) agentsPerRelay() float64    { return f.Hosts / f.relays() }
func (f Fleet) flowsPerHost() float64      { return f.Flows / f.Hosts }
func (f Fleet) configPerSecond() float64   { return f.ConfigChangesPerDay / secondsPerDay }
func (f Fleet) changesPerSecond() float64  { return f.configPerSecond() + f.viewsPerSecond() }
func (f Fleet) newFlowsPerDaemon() float64 { return f.NewFlowsPerSecond / f.Daemons }
func (f Fleet) hostsPerZone() float64      { return f.Hosts / f.Zones }
func (f Fleet) balancersPerZone() float64  { return f.Daemons / f.Zones }
func (f Fleet) hostsWithChangesDay() float64 {
	return f.RestartsPerDay + f.VMFailuresPerDay + rackHosts
}

// viewsPerSecond takes every restart and failure as one of a backend server.
func (f Fleet) viewsPerSecond() float64 {
	return f.hostsWithChangesDay() * viewsPerRestart / secondsPerDay
}
