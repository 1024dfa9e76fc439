package node

import (
	"encoding/json"
	"expvar"
	"io"
	"sync"
	"time"

	"fulmarmount.org/fulmarmount/internal/keys"
)

// Dump is the state of one process.
type Dump struct {
	Time        time.Time    `json:"time"`
	Name        string       `json:"name"`
	Zone        string       `json:"zone,omitempty"`
	Certificate keys.Info    `json:"certificate"`
	PacketKeys  []KeyDump    `json:"packet_keys"`
	Roles       []RoleDump   `json:"roles"`
	Metrics     []MetricDump `json:"metrics"`
}

// KeyDump is a packet key without its secret.
type KeyDump struct {
	ID        uint32    `json:"id"`
	NotBefore time.Time `json:"not_before"`
}

// RoleDump is the state of one running role.
type RoleDump struct {
	Role  string `json:"role"`
	State any    `json:"state"`
}

// MetricDump is one expvar variable.
type MetricDump struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// dumpable is a role that can tell its state and its counters as values for
// JSON.
type dumpable interface {
	Dump() any
	Counters() any
}

// Dumper collects the state of the process's running roles. It is safe for
// concurrent use.
type Dumper struct {
	options Options
	mu      sync.Mutex
	roles   []runningRole
}

type runningRole struct {
	name string
	dump dumpable
}

// NewDumper returns a Dumper for a process.
func NewDumper(o Options) *Dumper { return &Dumper{options: o} }

// add makes a running role part of later dumps.
func (d *Dumper) add(name string, role dumpable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roles = append(d.roles, runningRole{name: name, dump: role})
}

// Dump returns the state of the process.
func (d *Dumper) Dump() Dump {
	out := Dump{
		Time:        d.options.Now(),
		Name:        d.options.Settings.Name,
		Zone:        d.options.Settings.Zone,
		Certificate: d.options.Identity.Info(),
	}
	for _, k := range d.options.Ring.Keys() {
		out.PacketKeys = append(out.PacketKeys, KeyDump{ID: k.ID, NotBefore: k.NotBefore})
	}
	for _, r := range d.running() {
		out.Roles = append(out.Roles, RoleDump{Role: r.name, State: r.dump.Dump()})
	}
	expvar.Do(func(kv expvar.KeyValue) {
		out.Metrics = append(out.Metrics, MetricDump{Name: kv.Key, Value: json.RawMessage(kv.Value.String())})
	})
	return out
}

// Counters returns the counters of every running role, for expvar.
func (d *Dumper) Counters() any {
	var out []RoleDump
	for _, r := range d.running() {
		out = append(out, RoleDump{Role: r.name, State: r.dump.Counters()})
	}
	return out
}

func (d *Dumper) running() []runningRole {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]runningRole(nil), d.roles...)
}

// Write writes the dump as one line of JSON.
func (d *Dumper) Write(w io.Writer) error {
	return json.NewEncoder(w).Encode(d.Dump())
}
