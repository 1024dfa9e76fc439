package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The size of the fleet.
const (
	controlCount  = 3
	balancerCount = 3
	zoneCount     = 3
	agentsPerZone = 3
	agentCount    = zoneCount * agentsPerZone
)

// zoneName returns the name of an availability zone.
func zoneName(zone int) string { return string(rune('a'+zone)) + "-zone" }

// faultKind names a fault as it is printed.
type faultKind string

// The faults. All come from outside of the processes.
const (
	kill        faultKind = "kill"         // SIGKILL of a process, and its restart
	pause       faultKind = "pause"        // SIGSTOP of a process, and SIGCONT
	term        faultKind = "term"         // SIGTERM of a process, and its restart
	wipe        faultKind = "wipe"         // SIGKILL of a control process, restart on an empty disk
	killControl faultKind = "kill-control" // SIGKILL of all control processes at once
	killAll     faultKind = "kill-all"     // SIGKILL of all processes at once
	lossy       faultKind = "lossy"        // callers' packets to a balancer are lost or late
	cut         faultKind = "cut"          // callers' packets to a balancer are lost, not those back
	drain       faultKind = "drain"        // a backend server drains, leaves and returns cold
	crash       faultKind = "crash"        // a backend server dies and returns cold
	hang        faultKind = "hang"         // a backend server does not answer or report
	slow        faultKind = "slow"         // a backend server takes ten times as long
	configure   faultKind = "configure"    // another document
	evacuate    faultKind = "evacuate"     // a zone is evacuated, and taken back
)

// Fault is one entry of a schedule.
type Fault struct {
	At, For time.Duration // since the start of the schedule; until the fault ends
	Kind    faultKind
	// Target is the process's or backend server's name; the zone of an evacuation.
	Target string
	// Same makes a backend server return under its former ID.
	Same bool
}

func (f Fault) String() string {
	text := fmt.Sprintf("%6.2fs  %-12s %-11s for %.2fs", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
	switch {
	case f.Same:
		text += ", same ID"
	case f.Kind == evacuate && f.For == 0:
		text += ", and stands"
	}
	return text
}

// kinds lists the faults by weight: an entry that is listed twice is drawn twice as often.
var kinds = []faultKind{
	kill, kill, kill, pause, pause, term, term, wipe, killControl, killAll, lossy, cut,
	drain, drain, crash, crash, hang, slow, configure, configure, configure, evacuate, evacuate,
}

const (
	// firstFault is when the first fault begins: callers have flows by then.
	firstFault = 2 * time.Second
	// meanGap is the mean time between the beginnings of two faults.
	meanGap = 900 * time.Millisecond
	// burstShare is the share of faults that begin with the one before.
	burstShare = 0.25
	// calmShare is the share of faults that are followed by calm, in which bounds can
	// pass and be checked.
	calmShare = 0.08
	calm      = 7 * time.Second
)

// generator draws a schedule.
type generator struct {
	*rand.Rand
	busy     map[string]time.Duration // by target, until when it has a fault
	usedOnce map[faultKind]bool
}

// schedule returns the faults that a seed stands for.
func schedule(seed uint64, length time.Duration) (out []Fault) {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 21)), busy: map[string]time.Duration{}, usedOnce: map[faultKind]bool{}}
	at := firstFault
	for at < length {
		if f, ok := g.draw(at); ok {
			out = append(out, f)
		}
		switch x := g.Float64(); {
		case x < burstShare:
		case x < burstShare+calmShare:
			at += calm
		default:
			at += time.Duration(g.ExpFloat64() * float64(meanGap))
		}
	}
	return append(out, g.final(length)...)
}

// finalOrders is the number of orders before the last fault.
const finalOrders = 2

// final returns what the schedule ends with: orders that stand, and the loss of those that
// took them.
func (g *generator) final(at time.Duration) []Fault {
	orders := []Fault{{At: at, Kind: evacuate, Target: zoneName(g.IntN(zoneCount))}, {At: at, Kind: configure, Target: "operators"}}
	loss := Fault{At: at, For: g.duration(), Kind: []faultKind{killControl, killAll, kill}[g.IntN(3)], Target: "all"}
	if loss.Kind == kill {
		loss.Target = fmt.Sprint("control-", g.IntN(controlCount))
	}
	return append(orders, loss)
}

func (g *generator) duration() time.Duration {
	return 100*time.Millisecond + time.Duration(g.Float64()*g.Float64()*float64(5*time.Second))
}

// draw returns a fault, unless its target has one already.
func (g *generator) draw(at time.Duration) (Fault, bool) {
	f := Fault{At: at, For: g.duration(), Kind: kinds[g.IntN(len(kinds))], Same: g.IntN(3) == 0}
	f.Target = g.target(f.Kind)
	switch f.Kind {
	case crash, drain:
	default:
		f.Same = false
	}
	switch f.Kind {
	case wipe, killAll: // more lost disks than one at a time are outside of the promises
		if g.usedOnce[f.Kind] {
			return f, false
		}
		g.usedOnce[f.Kind] = true
	case evacuate: // long enough to come into force, and one zone at a time
		f.For += 13 * time.Second
		if g.busy["evacuation"] > at {
			return f, false
		}
		g.busy["evacuation"] = at + f.For
	case drain:
		f.For += 4 * time.Second
	}
	if g.busy[f.Target] > at {
		return f, false
	}
	if f.Kind != configure {
		g.busy[f.Target] = at + f.For
	}
	return f, true
}

func (g *generator) target(kind faultKind) string {
	balancer := fmt.Sprint("balancer-", g.IntN(balancerCount))
	agent := g.IntN(agentCount)
	control := fmt.Sprint("control-", g.IntN(controlCount))
	switch kind {
	case kill, pause, term:
		return []string{balancer, fmt.Sprint("agent-", agent), control}[g.IntN(3)]
	case wipe:
		return control
	case lossy, cut:
		return balancer
	case drain, crash, hang, slow:
		return fmt.Sprint("server-", agent)
	case evacuate:
		return zoneName(agent % zoneCount)
	case configure:
		return "operators"
	default:
		return "all"
	}
}
