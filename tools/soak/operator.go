package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"fulmarmount.org/fulmarmount/platform/platformtest"
)

// route is an address that callers use.
type route struct {
	name   string
	addr   netip.AddrPort
	unsafe bool
}

// The routes. Documents change where the last three lead; the last one is not in all of
// them.
var (
	routeFeed   = route{name: "feed", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	routeOrder  = route{name: "order", addr: netip.MustParseAddrPort("198.18.0.1:8080"), unsafe: true}
	routeSplit  = route{name: "split", addr: netip.MustParseAddrPort("198.18.0.2:8443")}
	routeMoving = route{name: "moving", addr: netip.MustParseAddrPort("198.18.0.2:8080"), unsafe: true}
	routeRare   = route{name: "rare", addr: netip.MustParseAddrPort("198.18.0.3:8443")}
)

// lasting are the routes that every document has.
var lasting = []route{routeFeed, routeOrder, routeSplit, routeMoving}

// operators give orders to the control processes, each until it is acknowledged.
type operators struct {
	w     *world
	fleet *fleet

	mu     sync.Mutex
	number uint64
	zones  sync.Mutex // one order about zones at a time
}

// nextDocument records and returns a document with a new number.
func (o *operators) nextDocument() *document {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number += 1 + o.number%3
	d := &document{number: o.number, services: map[netip.AddrPort][]string{
		routeFeed.addr: {"desk"}, routeOrder.addr: {"desk"}, routeSplit.addr: {"desk", "hall"}, routeMoving.addr: {"desk"},
	}}
	if o.number%2 == 0 {
		d.services[routeMoving.addr] = []string{"hall"}
	}
	if o.number%4 != 0 {
		d.services[routeRare.addr] = []string{"hall"}
	}
	d.body = d.encode()
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	d.sent = time.Now()
	o.w.documents = append(o.w.documents, d)
	return d
}

func (d *document) encode() string {
	type split struct {
		Service string `json:"service"`
		Weight  uint64 `json:"weight"`
	}
	routes := []map[string]any{} // an empty list is a part of a complete document, null is none
	for _, r := range append(slices.Clone(lasting), routeRare) {
		services := d.services[r.addr]
		if len(services) == 0 {
			continue
		}
		kind := "safe"
		if r.unsafe {
			kind = "unsafe"
		}
		entry := map[string]any{
			"name": r.name, "host": r.addr.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.addr.Port()), "kind": kind,
			"timeout_ms": 3000, "target_latency_ms": 200, "priority": 1,
		}
		if len(services) == 1 {
			entry["service"] = services[0]
		} else {
			entry["split"] = []split{{services[0], 50 + d.number%7}, {services[1], 30}}
		}
		routes = append(routes, entry)
	}
	service := func(name string) map[string]any { return platformtest.Service(name, coldTime, coldRequestRate) }
	b, _ := json.Marshal(map[string]any{ // plain values can be encoded
		"version": d.number, "routes": routes, "limits": map[string]int{"idle_timeout_ms": 15000},
		"services": []map[string]any{service("desk"), service("hall")},
	})
	return string(b)
}

// insist repeats a call at any control process until it is acknowledged or ctx ends.
func (o *operators) insist(ctx context.Context, method, path, body string) bool {
	control := o.fleet.byRole("control")
	for ctx.Err() == nil {
		p := control[rand.IntN(len(control))]
		status, answer := call(ctx, method, fmt.Sprintf("http://%s%s", o.fleet.port(p.addr, portOperators), path), body)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			o.w.report("a valid order is not refused", "%s refused %s %s with %d: %s", p.name, method, path, status, answer)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// configure puts another document.
func (o *operators) configure(ctx context.Context) {
	d := o.nextDocument()
	if !o.insist(ctx, http.MethodPut, "/configuration", d.body) {
		return
	}
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	d.acked = time.Now()
}

// evacuate orders the evacuation of a zone, or its end.
func (o *operators) evacuate(ctx context.Context, zone string, evacuates bool) {
	o.zones.Lock()
	defer o.zones.Unlock()
	state := &order{ordered: evacuates}
	o.w.mu.Lock()
	o.w.orders[zone] = state
	o.w.mu.Unlock()
	method := http.MethodDelete
	if evacuates {
		method = http.MethodPost
	}
	if !o.insist(ctx, method, "/evacuation/"+zone, "") {
		return
	}
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	state.ackedAt = time.Now()
}

// readBack reads the document from one control process and reports whether it answered.
func (o *operators) readBack(ctx context.Context, p *process) bool {
	atLeast := o.w.newestAcked()
	status, body := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/configuration", o.fleet.port(p.addr, portOperators)), "")
	if status != http.StatusOK {
		return false
	}
	var d struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal([]byte(body), &d) // version 0 is older than any
	o.w.readBack(p.name, atLeast, d.Version, body)
	return true
}

// readRepeatedly reads the document until ctx ends.
func (o *operators) readRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range o.fleet.byRole("control") {
			o.readBack(ctx, p)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// evacuations returns the evacuated zones that a control process lists.
func (o *operators) evacuations(ctx context.Context, p *process) (zones []string, ok bool) {
	keys := filepath.Join(o.fleet.folder, "target", "keys")
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(o.fleet.folder, "target", "fulmarctl"),
		"--remote", o.fleet.port(p.addr, portAdmin).String(), "--ca", filepath.Join(keys, "ca.pem"),
		"--cert", filepath.Join(keys, "operator.pem"), "--key", filepath.Join(keys, "operator.key"), "zone", "list", "--json").Output()
	var list []struct{ Zone string }
	if err != nil || json.Unmarshal(out, &list) != nil {
		return nil, false
	}
	for _, e := range list {
		zones = append(zones, e.Zone)
	}
	slices.Sort(zones)
	return zones, true
}
