package main

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

func init() { cases["replaced"] = playReplaced }

// playReplaced replaces one of three core machines as planned, the new one first, and then
// takes the disk of another one right after it has acknowledged a config.
func playReplaced(f *fleet, trouble bool) (int, string) {
	core := []*machine{
		f.add("core-daejeon-a-1", "core", f.zones[0], ""),
		f.add("core-daejeon-b-1", "core", f.zones[1], ""),
		f.add("core-sejong-a-1", "core", f.zones[2], ""),
	}
	addrsOf := func(ms ...*machine) (out []string) {
		for _, m := range ms {
			out = append(out, m.addr(portControl))
		}
		return out
	}
	f.seeds = addrsOf(core...)
	for _, m := range core {
		if err := f.start(m); err != nil {
			return unrun, err.Error()
		}
	}
	o := newOperator(f.rec)
	if _, err := o.put(f.seeds, 1, config(f.routeHost(), 1, "desk"), 15*time.Second); err != nil {
		return unrun, "the fleet does not start: " + err.Error()
	}
	time.Sleep(catchUp + time.Second)

	f.rec.add("planned: the successor of %s starts, empty, at another address", core[0].name)
	successor := f.add("core-daejeon-a-2", "core", f.zones[0], "")
	successor.bootstrap = false
	if err := f.start(successor); err != nil {
		return unrun, err.Error()
	}
	time.Sleep(catchUp + 4*time.Second) // twice what a new machine may need
	if _, err := o.put(addrsOf(core...), 2, config(f.routeHost(), 2, "desk"), 5*time.Second); err != nil {
		return unrun, "config 2 was not acknowledged: " + err.Error()
	}
	f.rec.add("planned: %s leaves for good", core[0].name)
	f.terminate(core[0])
	f.seeds = addrsOf(core[1], core[2], successor)
	time.Sleep(time.Second)

	lost := core[1]
	newest := config(f.routeHost(), 3, "desk")
	if _, err := o.put(addrsOf(lost), 3, newest, 5*time.Second); err != nil {
		return unrun, "config 3 was not acknowledged: " + err.Error()
	}
	if trouble {
		f.rec.add("%s has acknowledged config 3 and loses its disk", lost.name)
		f.kill(lost)
		if err := os.RemoveAll(lost.disk); err != nil {
			return unrun, err.Error()
		}
		time.Sleep(3 * time.Second)
		lost.bootstrap = false
		if err := f.start(lost); err != nil {
			return unrun, err.Error()
		}
	}
	// All three machines of the core run again from here on.
	back := time.Now()
	time.Sleep(recovery)
	newestSeen, answers := 0, 0
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until) && newestSeen < 3; time.Sleep(300 * time.Millisecond) {
		for _, addr := range f.seeds {
			version, status, body := o.get(addr)
			if status == 200 {
				answers++
				newestSeen = max(newestSeen, version)
				if version == 3 && !bytes.Equal(body, newest) {
					return broken, "config 3 is read back with other content"
				}
				if version < 3 {
					return broken, fmt.Sprintf("config %d is read back after config 3 was acknowledged", version)
				}
			}
		}
	}
	for _, m := range f.machines {
		for _, line := range f.logLines(m, "Leader changed", "Changed the control group's membership", "Added the replica") {
			f.rec.add("log of %s: %s", m.name, line)
		}
	}
	if newestSeen < 3 {
		return broken, fmt.Sprintf("config 3 was acknowledged; %.0f s after all core machines are back no machine gives any config (%d answers)", time.Since(back).Seconds(), answers)
	}
	if _, err := o.put(f.seeds, 4, config(f.routeHost(), 4, "desk"), 5*time.Second); err != nil {
		return broken, "a new config is not acknowledged: " + err.Error()
	}
	return held, "config 3 is read back, and config 4 is acknowledged"
}
