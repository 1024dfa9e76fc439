package fleetfile

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/finding"
)

const whole = `[defaults]
deadline = 4s
retry_budget = 5%

[service.order-desk]
mode = request
addresses = 10.1.0.1:443, [2001:db8::1]:443
share = 62.5%
classes = amendment 0-1 50%, status 2-4 25%, rest 5-7 5%
repeatable = GET /, PUT /orders/

[service.catalogue]
mode = packet
addresses = 10.1.0.2:443

; The reason may hold what an INI file uses elsewhere.
[exception.old-disk]
scope = backend_server
target = order-desk-3
key = weight
value = 20
reason = "old disk" = slow; see ticket #12 \ 100%(x)s
expires = 2026-06-01T09:00:00+09:00
`

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	d, err := Parse("fleet.ini", []byte(whole))
	is.NoErr(err)
	is.Equal(d.Defaults.RetryBudgetPercent, uint32(5))
	is.Equal(d.Services[1].Share.String(), "62.5%")
	is.Equal(d.Services[1].Classes[1], fleet.Class{Name: "status", MostUrgent: 2, LeastUrgent: 4, Share: 250_000})
	is.Equal(d.Services[1].RepeatableRoutes[1], fleet.Route{Method: "PUT", Prefix: "/orders/"})
	is.Equal(d.Exceptions[0].Reason, `"old disk" = slow; see ticket #12 \ 100%(x)s`)
	is.Equal(d.Exceptions[0].ExpiresAt.Hour(), 0)
	again, err := Parse("fleet.ini", Format(d))
	is.NoErr(err)
	is.Equal(again, d)
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Parse("fleet.ini", []byte(`[defaults]
deadline = soon
weight = 99999999999
speed = fast
[service.order-desk]
mode = request
addresses = 10.1.0.1:443, 10.1.0.1:443, nowhere
share = 60%
classes = amendment 0-1 80%, urgent 1-3 30%, bad, worse 1-x 5%
[service.catalogue]
mode = tcp
addresses = 10.1.0.1:443
share = 50%
[service.status]
mode = request
share = half
[service.status]
mode = packet
[exception.a]
scope = zone
target = sejong-a
key = weight
value = 40
[exception.b]
scope = service
target = gone
key = colour
value = 40
reason = its owner asked for that
expires = tomorrow
[gateway]
x = 1
`))
	want := []string{
		":2 [defaults] deadline", ":3 [defaults] weight", ":4 [defaults] speed",
		":7 [service.order-desk] addresses", ":7 [service.order-desk] addresses", ":7 [service.order-desk] addresses",
		":9 [service.order-desk] classes", ":9 [service.order-desk] classes", ":9 [service.order-desk] classes",
		":9 [service.order-desk] classes",
		":8 [service.order-desk] share",
		":11 [service.catalogue] mode",
		":14 [service.status] addresses", ":16 [service.status] share",
		":17 [service.status] ",
		":19 [exception.a] reason",
		":26 [exception.b] target", ":27 [exception.b] key", ":30 [exception.b] expires",
		":31 [gateway] ",
	}
	var got []string
	for _, f := range finding.Of(err) {
		got = append(got, fmt.Sprintf(":%d [%s] %s", f.Line, f.Section, f.Key))
	}
	slices.Sort(want)
	slices.Sort(got)
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

func TestPatch(t *testing.T) {
	is := is.New(t)
	current, err := Parse("fleet.ini", []byte(whole))
	is.NoErr(err)
	patch, err := ParsePatch("change.ini", []byte(`[defaults]
queue_time = 1s
[service.status]
mode = stream
addresses = 10.1.0.3:443
[exception.desk]
scope = service
target = order-desk
key = weight
value = 50
reason = half of its hosts are away
`), []string{"exception.old-disk", "service.catalogue"}, current)
	is.NoErr(err)
	next := patch.Apply(current)
	is.Equal(next.Defaults.Get("queue_time"), "1s")
	is.Equal(next.Defaults.Get("deadline"), "4s") // as it was
	is.Equal(len(next.Services), 2)
	is.Equal(next.Exceptions[0].Name, "desk")

	_, err = ParsePatch("change.ini", []byte("[service.status]\nmode = packet\naddresses = 10.1.0.2:443\n"),
		[]string{"service.gone", "defaults"}, current)
	var got []string
	for _, f := range finding.Of(err) {
		got = append(got, f.String())
	}
	is.Equal(got, []string{
		"[defaults] there is no such section to delete",
		"[service.gone] there is no such section to delete",
		"change.ini:3: [service.status] addresses: duplicate address 10.1.0.2:443, also of [service.catalogue]",
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("[service.a]\nmode=stream\naddresses=1.1.1.1:1\nclasses=a 0-0 1%,b 0-0 1%"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("fleet.ini", data)
		if err != nil {
			if len(finding.Of(err)) == 0 {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		again, err := Parse("fleet.ini", Format(d))
		if err != nil {
			t.Fatalf("written file does not parse: %v", err)
		}
		if diff := fleet.Diff(d, again); diff.Size() != 0 {
			t.Fatalf("written file differs by %+v", diff)
		}
	})
}
