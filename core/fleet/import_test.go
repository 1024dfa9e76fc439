package fleet

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listenerDocument returns a document with one listener for the given services.
func listenerDocument(services ...string) *Document {
	d := &Document{Defaults: DefaultSettings()}
	for _, name := range []string{"catalogue-hall", "order-desk"} {
		d.Services = append(d.Services, Service{Name: name, Mode: ModeSegment})
	}
	l := Listener{Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Second}
	for _, name := range services {
		l.WeightedServices = append(l.WeightedServices, WeightedService{Service: name, Weight: 1})
	}
	d.Listeners = []Listener{l}
	return d
}

func importCommand(number uint64, d *Document) Command {
	return Command{Kind: KindImport, Import: &Import{Number: number, RawDocument: []byte{byte(number)}}, Document: d}
}

func TestHighestImportNumberIsActiveInAnyOrder(t *testing.T) {
	is := is.New(t)
	for _, order := range [][]uint64{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}, {1, 3, 3}, {3, 1, 3}} {
		m := New()
		for i, number := range order {
			result := m.Apply(uint64(i+1), importCommand(number, listenerDocument("order-desk")))
			is.Equal(result.Outcome, OutcomeAccepted)
		}
		is.Equal(m.ActiveImport(), Import{Number: 3, RawDocument: []byte{3}})
	}
}

func TestImportWithActiveNumberHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(1, importCommand(7, listenerDocument("order-desk")))
	other := importCommand(7, listenerDocument("catalogue-hall"))
	other.Import.RawDocument = []byte("other")
	is.Equal(m.Apply(2, other).Outcome, OutcomeAccepted)
	is.Equal(m.ActiveImport().RawDocument, []byte{7})
	is.Equal(m.Document().Listeners[0].WeightedServices[0].Service, "order-desk")
	is.Equal(m.Revision(), uint64(1))
}

func TestInvalidImportHasNoEffect(t *testing.T) {
	cases := []struct {
		name   string
		mutate func(d *Document)
	}{
		{"unknown service", func(d *Document) { d.Listeners[0].WeightedServices[0].Service = "nobody" }},
		{"two listeners at one address", func(d *Document) { d.Listeners = append(d.Listeners, d.Listeners[0]) }},
		{"no timeout", func(d *Document) { d.Listeners[0].Timeout = 0 }},
		{"no weight", func(d *Document) { d.Listeners[0].WeightedServices[0].Weight = 0 }},
		{"no service", func(d *Document) { d.Listeners[0].WeightedServices = nil }},
		{"a service twice", func(d *Document) {
			d.Listeners[0].WeightedServices = append(d.Listeners[0].WeightedServices, d.Listeners[0].WeightedServices[0])
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			d := listenerDocument("order-desk")
			c.mutate(d)
			result := m.Apply(1, importCommand(1, d))
			is.Equal(result.Outcome, OutcomeInvalid)
			is.True(len(result.Problems) > 0)
			is.Equal(m.ActiveImport().Number, uint64(0))
		})
	}
}

func TestRegistrationsAreInSnapshotsAndCreateNoVersion(t *testing.T) {
	is := is.New(t)
	m := New()
	one, two := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	m.Apply(1, Command{Kind: KindRegistrations, Registrations: &RegistrationChange{Added: []netip.AddrPort{two, one}}})
	is.Equal(m.RegisteredAgents(), []netip.AddrPort{one, two})
	m.Apply(2, Command{Kind: KindRegistrations, Registrations: &RegistrationChange{Removed: []netip.AddrPort{two}}})
	is.Equal(m.Version()+m.Revision(), uint64(0))
	is.Equal(m.Apply(3, Command{Kind: KindRegistrations, Registrations: &RegistrationChange{}}).Outcome, OutcomeInvalid)
	restored, err := Restore(m.Snapshot())
	is.NoErr(err)
	is.Equal(restored.RegisteredAgents(), []netip.AddrPort{one})
}

func TestPreviousServicesOfListenerAreRecorded(t *testing.T) {
	is := is.New(t)
	m := New()
	steps := []struct {
		services         []string
		previousServices []string
	}{
		{[]string{"order-desk"}, nil},
		{[]string{"order-desk", "catalogue-hall"}, nil},
		{[]string{"catalogue-hall"}, []string{"order-desk"}},
		{[]string{"catalogue-hall"}, []string{"order-desk"}},
		{[]string{"order-desk"}, []string{"catalogue-hall"}},
	}
	for i, s := range steps {
		m.Apply(uint64(i+1), importCommand(uint64(i+1), listenerDocument(s.services...)))
		is.True(slices.Equal(m.Document().Listeners[0].PreviousServices, s.previousServices))
	}
	restored, err := Restore(m.Snapshot())
	is.NoErr(err)
	is.Equal(restored.Document().Listeners, m.Document().Listeners)
	is.Equal(restored.ActiveImport(), m.ActiveImport())
}
