package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// documentOf returns a document that names one service, which its listener leads to.
func documentOf(service string) *Document {
	d := listenerDocument(service)
	d.Services = []Service{{Name: service, Mode: ModeSegment}}
	return d
}

// previousNames returns the names of the listener's previous services.
func previousNames(l *Listener) []string {
	var names []string
	for _, p := range l.PreviousServices {
		names = append(names, p.Service)
	}
	return names
}

// retiredNames returns the names of the retired services.
func retiredNames(d *Document) []string {
	var names []string
	for _, r := range d.RetiredServices {
		names = append(names, r.Service.Name)
	}
	return names
}

// Guards against the removal of a service whose flows are open: a document that moves a
// listener to another service rarely names the one before.
func TestServiceWithOpenFlowsIsRetired(t *testing.T) {
	began := time.Unix(1_000_000, 0).UTC()
	steps := []struct {
		name     string
		after    time.Duration
		document *Document
		previous []string
		retired  []string
	}{
		{"a listener", 0, documentOf("order-desk"), nil, nil},
		{"it moves to another service", 0, documentOf("catalogue-hall"), []string{"order-desk"}, []string{"order-desk"}},
		{"another change", time.Minute, documentOf("catalogue-hall"), []string{"order-desk"}, []string{"order-desk"}},
		{"it moves once more", 2 * time.Minute, documentOf("archive"), []string{"catalogue-hall", "order-desk"}, []string{"catalogue-hall", "order-desk"}},
		{"it moves back", 3 * time.Minute, documentOf("order-desk"), []string{"archive", "catalogue-hall"}, []string{"archive", "catalogue-hall"}},
		{"the first retirement is over", 2*time.Minute + flowRetention, documentOf("order-desk"), []string{"archive"}, []string{"archive"}},
		{"the service is named again", 3 * time.Minute, listenerDocument("order-desk"), []string{"archive"}, []string{"archive"}},
		{"the listener is removed", 3 * time.Minute, &Document{Defaults: DefaultSettings()}, nil, nil},
	}
	m := New()
	for i, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			command := importCommand(uint64(i+1), s.document)
			command.ProposedAt = began.Add(s.after)
			is.Equal(m.Apply(uint64(i+1), command).Outcome, OutcomeAccepted)
			if len(s.document.Listeners) > 0 {
				is.Equal(previousNames(&m.Document().Listeners[0]), s.previous)
			}
			is.Equal(retiredNames(m.Document()), s.retired)
			restored, err := Restore(m.Snapshot())
			is.NoErr(err)
			is.Equal(restored.Document(), m.Document())
		})
	}
}

// A retired service that is named again keeps its ID: its backend servers still hold its
// flows, and balancers search by ID.
func TestRetiredServiceKeepsItsID(t *testing.T) {
	is := is.New(t)
	m := New()
	for i, name := range []string{"order-desk", "catalogue-hall", "order-desk"} {
		is.Equal(m.Apply(uint64(i+1), importCommand(uint64(i+1), documentOf(name))).Outcome, OutcomeAccepted)
	}
	is.Equal(uint32(m.Document().Service("order-desk").ID), uint32(1))
	is.Equal(uint32(m.Document().Retired("catalogue-hall").Service.ID), uint32(2))
}

// The same removal by a change of the operators, who can't change listeners.
func TestOperatorsRemovalRetiresPreviousService(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(1, importCommand(1, listenerDocument("order-desk")))
	m.Apply(2, importCommand(2, listenerDocument("catalogue-hall")))
	removal := Command{Kind: KindPatch, ExpectedVersion: m.Version(), Patch: &Patch{DeleteServices: []string{"order-desk"}}}
	is.Equal(m.Apply(3, removal).Outcome, OutcomeAccepted)
	is.Equal(retiredNames(m.Document()), []string{"order-desk"})
}
