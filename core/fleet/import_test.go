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

func TestRequestIDOfOtherRegistrationsIsReused(t *testing.T) {
	is := is.New(t)
	m := New()
	one, two := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	register := func(index uint64, change RegistrationChange) Outcome {
		return m.Apply(index, Command{Kind: KindRegistrations, RequestID: "r", Registrations: &change}).Outcome
	}
	is.Equal(register(1, RegistrationChange{Added: []netip.AddrPort{one}}), OutcomeAccepted)
	is.Equal(register(2, RegistrationChange{Added: []netip.AddrPort{one}}), OutcomeAccepted)
	is.Equal(register(3, RegistrationChange{Added: []netip.AddrPort{two}}), OutcomeRequestIDReused)
	is.Equal(register(4, RegistrationChange{Removed: []netip.AddrPort{one}}), OutcomeRequestIDReused)
	is.Equal(m.RegisteredAgents(), []netip.AddrPort{one})
}

func TestRegistrationsBeyondTheLimitAreReported(t *testing.T) {
	is := is.New(t)
	m := New()
	var all []netip.AddrPort
	for n := range maxRegisteredAgents + 2 {
		addr := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
		all = append(all, netip.AddrPortFrom(addr, 7000))
	}
	within := all[:maxRegisteredAgents]
	is.Equal(m.Apply(1, Command{Kind: KindRegistrations, Registrations: &RegistrationChange{Added: within}}).Problems, nil)
	result := m.Apply(2, Command{Kind: KindRegistrations, Registrations: &RegistrationChange{Added: all[maxRegisteredAgents:]}})
	is.Equal(len(result.Problems), 1)
	is.Equal(len(m.RegisteredAgents()), maxRegisteredAgents)
}

// A rollback cannot restore a version from before an import, not even after further
// versions and a restart from a snapshot.
func TestNoRollbackGoesBehindAnImport(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.Apply(1, Command{Kind: KindApply, Document: document(service("catalogue", 443))}).Outcome, OutcomeAccepted)
	is.Equal(m.Apply(2, importCommand(7, listenerDocument("order-desk"))).Outcome, OutcomeAccepted)
	for index := uint64(3); index < 6; index++ {
		next := listenerDocument("order-desk")
		next.Defaults.LeaseDuration += time.Duration(index) * time.Second
		result := m.Apply(index, Command{Kind: KindApply, ExpectedVersion: m.Version(), Document: next})
		is.Equal(result.Outcome, OutcomeAccepted)
		restored, err := Restore(m.Snapshot())
		is.NoErr(err)
		for _, machine := range []*StateMachine{m, restored} {
			for version := range uint64(2) { // the import made version 2
				_, ok := machine.DocumentAt(version)
				is.True(!ok)
			}
			_, ok := machine.DocumentAt(2)
			is.True(ok)
		}
	}
	for version := range uint64(2) {
		result := m.Apply(10+version, Command{Kind: KindRollback, ExpectedVersion: m.Version(), RollbackVersion: version})
		is.Equal(result.Outcome, OutcomeNotFound)
	}
	is.Equal(m.Apply(20, Command{Kind: KindRollback, ExpectedVersion: m.Version(), RollbackVersion: 2}).Outcome, OutcomeAccepted)
	is.Equal(m.Document().Listeners, listenerDocument("order-desk").Listeners)
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
		is.True(slices.Equal(previousNames(&m.Document().Listeners[0]), s.previousServices))
	}
	restored, err := Restore(m.Snapshot())
	is.NoErr(err)
	is.Equal(restored.Document().Listeners, m.Document().Listeners)
	is.Equal(restored.ActiveImport(), m.ActiveImport())
}
