package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func addrs(list ...string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range list {
		out = append(out, netip.MustParseAddrPort(s))
	}
	return out
}

func service(name string, port int) Service {
	return Service{Name: name, Mode: ModePacket, Addresses: addrs(fmt.Sprintf("10.0.0.1:%d", port))}
}

func document(services ...Service) *Document {
	return &Document{Defaults: DefaultSettings(), Services: services}
}

func sampleDocument() *Document {
	desk := service("order-desk", 443)
	desk.Mode, desk.Share = ModeRequest, 400_000
	desk.Classes = []Class{{"amendment", 0, 1, 500_000}, {"rest", 2, 7, 200_000}}
	desk.RepeatableRoutes = []Route{{"GET", "/"}, {"PUT", "/orders/"}}
	d := document(service("catalogue", 444), desk)
	d.Exceptions = []Exception{
		{"a-zone", ScopeZone, "sejong-a", "weight", "40", "half its uplink is under repair", startTime.Add(time.Hour)},
		{"b-desk", ScopeService, "order-desk", "weight", "80", "leaves room for the season's peak", time.Time{}},
		{"c-host", ScopeBackendServer, "order-desk-3", "weight", "20", "old disk, replaced in May", time.Time{}},
	}
	return d
}

func TestValidateReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(d *Document)
		want   string
	}{
		{"none", func(*Document) {}, ""},
		{"default out of range", func(d *Document) { d.Defaults.LeaseDuration = time.Hour }, "[defaults] lease: 1h0m0s is outside 2s to 5m0s"},
		{"name", func(d *Document) { d.Services[0].Name = "Cat" }, `[service.Cat] "Cat" is not a name`},
		{"mode", func(d *Document) { d.Services[0].Mode = "tcp" }, `[service.catalogue] mode: "tcp" is none of`},
		{"no address", func(d *Document) { d.Services[0].Addresses = nil }, "[service.catalogue] addresses: 0 addresses"},
		{"unspecified address", func(d *Document) { d.Services[0].Addresses = addrs("0.0.0.0:1") }, "that callers can reach"},
		{
			"duplicate address", func(d *Document) { d.Services[1].Addresses = d.Services[0].Addresses },
			"[service.order-desk] addresses: duplicate address 10.0.0.1:444, also of [service.catalogue]",
		},
		{"duplicate service", func(d *Document) { d.Services[1].Name = "catalogue" }, "duplicate service"},
		{"shares", func(d *Document) { d.Services[0].Share = 600_001 }, "[service.order-desk] share: shares of the services up to this one exceed 100%"},
		{"class shares", func(d *Document) { d.Services[1].Classes[1].Share = 500_001 }, "shares of the classes exceed 100%"},
		{"class overlap", func(d *Document) { d.Services[1].Classes[1].MostUrgent = 1 }, `classes "amendment" and "rest" overlap`},
		{"class range", func(d *Document) { d.Services[1].Classes[1].LeastUrgent = 8 }, "not a range within 0 to 7"},
		{"class name", func(d *Document) { d.Services[1].Classes[1].Name = "amendment" }, `duplicate class "amendment"`},
		{"repeatable of packets", func(d *Document) { d.Services[1].Mode = ModePacket }, "only services of mode request"},
		{"method", func(d *Document) { d.Services[1].RepeatableRoutes[0].Method = "get" }, `"get" is not an upper-case method`},
		{"path", func(d *Document) { d.Services[1].RepeatableRoutes[0].Prefix = "orders" }, `"orders" is not a path`},
		{"no reason", func(d *Document) { d.Exceptions[0].Reason = "  " }, "[exception.a-zone] reason: a written reason is required"},
		{"short reason", func(d *Document) { d.Exceptions[0].Reason = "because" }, "say why"},
		{"unknown scope", func(d *Document) { d.Exceptions[0].Scope = "rack" }, `"rack" is none of`},
		{"unknown key", func(d *Document) { d.Exceptions[0].Key = "colour" }, `"colour" is none of`},
		{"unknown service", func(d *Document) { d.Exceptions[1].Target = "gone" }, `service "gone" does not exist`},
		{"value", func(d *Document) { d.Exceptions[0].Value = "99999999" }, "99999999 is outside 0 to 10000"},
		{
			"scope of key", func(d *Document) { d.Exceptions[2].Key, d.Exceptions[2].Value = "deadline", "1s" },
			"[exception.c-host] scope: deadline cannot be set for one backend_server",
		},
		{
			"same override", func(d *Document) { d.Exceptions[2].Scope, d.Exceptions[2].Target = ScopeZone, "sejong-a" },
			`exception "a-zone" already sets weight of zone "sejong-a"`,
		},
	}
	all := sampleDocument()
	all.Services[0].Mode, all.Exceptions[0].Reason, all.Exceptions[1].Value = "", "", "x"
	if got := len(all.Validate()); got != 3 {
		t.Errorf("%d problems of 3", got)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := sampleDocument()
			tt.mutate(d)
			var lines []string
			for _, p := range d.Validate() {
				lines = append(lines, p.String())
			}
			report := strings.Join(lines, "\n")
			is.Equal(report == "", tt.want == "")
			is.True(strings.Contains(report, tt.want)) // the problem is in the report
		})
	}
}

func TestEffectiveSettings(t *testing.T) {
	d := sampleDocument()
	tests := []struct {
		target Target
		at     time.Time
		weight uint32
	}{
		{Target{"catalogue", "sejong-b", "catalogue-1"}, startTime, 100},
		{Target{"catalogue", "sejong-a", "catalogue-2"}, startTime, 40},
		{Target{"catalogue", "sejong-a", "catalogue-2"}, startTime.Add(time.Hour), 100}, // expired
		{Target{"order-desk", "sejong-a", "order-desk-1"}, startTime, 80},
		{Target{"order-desk", "sejong-a", "order-desk-3"}, startTime, 20},
		{Target{}, startTime, 100},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(d.EffectiveSettings(tt.target, tt.at).Weight, tt.weight)
		is.Equal(NewResolver(d, tt.at).EffectiveSettings(tt.target), d.EffectiveSettings(tt.target, tt.at))
	}
	is := is.New(t)
	is.Equal(len(d.ExpiredExceptions(startTime)), 0)
	is.Equal(NewResolver(d, startTime.Add(time.Hour)).ExpiredCount(), 1)
	is.Equal(d.ExpiredExceptions(startTime.Add(time.Hour))[0].Name, "a-zone")
}

func TestSettingsTextRoundTrip(t *testing.T) {
	is := is.New(t)
	var s Settings
	for _, key := range SettingKeys() {
		defaults := DefaultSettings()
		is.NoErr(s.Set(key, defaults.Get(key)))
	}
	is.Equal(s, DefaultSettings())
	for _, bad := range []struct{ key, value string }{
		{"weight", "1e3"}, {"weight", "-1"}, {"retry_budget", "10"}, {"retry_budget", "101%"}, {"reserved_share", "101%"}, {"caller_share", "10"}, {"wait_limit", "-1%"}, {"lease", "5"}, {"x", "1"},
	} {
		is.True(s.Set(SettingKey(bad.key), bad.value) != nil)
	}
	for text, want := range map[string]Share{"0%": 0, "100%": FullShare, "0.0001%": 1, "12.5%": 125_000} {
		got, err := ParseShare(text)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(got.String(), text)
	}
	for _, bad := range []string{"", "%", "1", "101%", "-1%", "1.00001%", "+5%", "1.-1%", "99999999999%"} {
		_, err := ParseShare(bad)
		is.True(err != nil)
	}
}

func TestConcurrentAndResentCommands(t *testing.T) {
	one, two := document(service("one", 1)), document(service("two", 2))
	apply := func(id string, expected uint64, d *Document) Command {
		return Command{Kind: KindApply, RequestID: id, ExpectedVersion: expected, Document: d}
	}
	put := func(id string, expected uint64, s Service) Command {
		return Command{Kind: KindPatch, RequestID: id, ExpectedVersion: expected, Patch: &Patch{PutServices: []Service{s}}}
	}
	rollback := func(id string, expected, to uint64) Command {
		return Command{Kind: KindRollback, RequestID: id, ExpectedVersion: expected, RollbackVersion: to}
	}
	applyPatch := func(id string, expected uint64) Command {
		return Command{Kind: KindApply, RequestID: id, ExpectedVersion: expected, Patch: &Patch{DeleteServices: []string{"one"}}}
	}
	drain := Command{Kind: KindDrain, BackendServer: "one-1"}
	type step struct {
		command Command
		outcome Outcome
		version uint64
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"same expected version", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("b", 0, two), OutcomeConflict, 1}}},
		{"same expected version, equal documents", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("b", 0, one), OutcomeConflict, 1}}},
		{"resend of an accepted command", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("b", 1, two), OutcomeAccepted, 2}, {apply("a", 0, one), OutcomeAccepted, 1}}},
		{"resend of a conflicting command", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("b", 0, two), OutcomeConflict, 1}, {apply("c", 1, two), OutcomeAccepted, 2}, {apply("b", 0, two), OutcomeConflict, 1}}},
		{"resend of an invalid command", []step{{apply("a", 0, document(service("X", 1))), OutcomeInvalid, 0}, {apply("b", 0, one), OutcomeAccepted, 1}, {apply("a", 0, document(service("X", 1))), OutcomeInvalid, 0}}},
		{"request ID reused for another document", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("a", 0, two), OutcomeRequestIDReused, 1}, {apply("a", 1, two), OutcomeRequestIDReused, 1}}},
		{"without request ID", []step{{apply("", 0, one), OutcomeAccepted, 1}, {apply("", 0, one), OutcomeConflict, 1}}},
		{"patches of two services", []step{{put("a", 0, service("one", 1)), OutcomeAccepted, 1}, {put("b", 0, service("two", 2)), OutcomeAccepted, 2}}},
		{"patches of one service", []step{{put("a", 0, service("one", 1)), OutcomeAccepted, 1}, {put("b", 0, service("one", 2)), OutcomeConflict, 1}, {put("c", 1, service("one", 2)), OutcomeAccepted, 2}}},
		{"patches that use the same address", []step{{put("a", 0, service("one", 1)), OutcomeAccepted, 1}, {put("b", 0, service("two", 1)), OutcomeInvalid, 1}}},
		{"apply with a patch", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {applyPatch("b", 1), OutcomeAccepted, 2}, {applyPatch("c", 1), OutcomeConflict, 2}, {applyPatch("b", 1), OutcomeAccepted, 2}}},
		{"patch of a future version", []step{{put("a", 5, service("one", 1)), OutcomeConflict, 0}}},
		{"rollback is a new version", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {apply("b", 1, two), OutcomeAccepted, 2}, {rollback("c", 2, 1), OutcomeAccepted, 3}, {rollback("d", 2, 1), OutcomeConflict, 3}, {rollback("e", 3, 9), OutcomeNotFound, 3}}},
		{"drain does not change the version", []step{{apply("a", 0, one), OutcomeAccepted, 1}, {drain, OutcomeAccepted, 1}, {drain, OutcomeAccepted, 1}, {apply("b", 1, two), OutcomeAccepted, 2}}},
		{"cancel without a drain", []step{{Command{Kind: KindCancelDrain, BackendServer: "one-1"}, OutcomeNotFound, 0}}},
		{"malformed", []step{{Command{}, OutcomeInvalid, 0}, {Command{Kind: KindApply}, OutcomeInvalid, 0}, {Command{Kind: KindPatch}, OutcomeInvalid, 0}, {Command{Kind: KindDrain}, OutcomeInvalid, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			for i, s := range tt.steps {
				var err error
				got := m.Apply(uint64(i+1), s.command)
				is.Equal(got.Outcome, s.outcome)
				is.Equal(got.Version, s.version)
				m, err = Restore(m.Snapshot()) // also restore a snapshot after every step
				is.NoErr(err)
			}
		})
	}
}

func TestServiceIDsAreNeverReused(t *testing.T) {
	is := is.New(t)
	m := New()
	documents := []*Document{document(service("a", 1)), document(service("b", 1)), document(service("a", 1), service("b", 2))}
	for i, d := range documents {
		is.Equal(m.Apply(uint64(i+1), Command{Kind: KindApply, ExpectedVersion: uint64(i), Document: d}).Outcome, OutcomeAccepted)
	}
	is.Equal(m.Document().Service("b").ID, documents[1].Service("b").ID) // unchanged while the service exists
	is.Equal(uint32(m.Document().Service("a").ID), uint32(3))            // deleted and created again
	is.Equal(m.Apply(9, Command{Kind: KindRollback, ExpectedVersion: 3, RollbackVersion: 1}).Outcome, OutcomeAccepted)
	is.Equal(m.Document().Service("a").ID, documents[2].Service("a").ID) // unchanged by the rollback
	is.Equal(m.Apply(10, Command{Kind: KindRollback, ExpectedVersion: 4, RollbackVersion: 2}).Outcome, OutcomeAccepted)
	is.Equal(uint32(m.Document().Service("b").ID), uint32(4))
}

func TestHistoryAndResultCacheAreBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	patch := func(i int) Command {
		return Command{
			Kind: KindPatch, RequestID: fmt.Sprint(i), ExpectedVersion: uint64(i),
			Patch: &Patch{PutServices: []Service{service("a", 1+i%60_000)}},
		}
	}
	for i := range maxCachedResults + 10 {
		is.Equal(m.Apply(uint64(i+1), patch(i)).Outcome, OutcomeAccepted)
	}
	is.Equal(len(m.resultCache.results), maxCachedResults)
	is.Equal(len(m.resultCache.byID), maxCachedResults)
	is.Equal(len(m.history.entries), maxHistoryVersions)
	is.Equal(m.Apply(20_000, patch(10)).Version, uint64(11))                      // the oldest cached result
	is.Equal(m.Apply(20_001, patch(9)).Outcome, OutcomeConflict)                  // evicted, but still not executed twice
	is.Equal(m.Apply(20_000, patch(maxCachedResults+10)).Outcome, OutcomeInvalid) // an index that was already applied
	m.Apply(20_001+cachedResultWindow, Command{Kind: KindDrain, BackendServer: "x"})
	is.Equal(len(m.resultCache.results), 0)
	_, ok := m.DocumentAt(m.Version() - maxHistoryVersions - 1)
	is.True(!ok)

	big := newHistory(nil)
	for i := range 3 {
		big.add(HistoryEntry{Version: uint64(i), Undo: Patch{DeleteServices: make([]string, maxHistoryItems*2/3)}})
	}
	is.Equal(len(big.entries), 1)
}

// TestHistoryMatchesReferenceModel applies random commands to a state machine, to a
// second one that is restored from snapshots at random points, and to a reference
// model that stores every document in full instead of undo patches.
func TestHistoryMatchesReferenceModel(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 7))
		m, restored := New(), New()
		reference := []*Document{document()}
		firstResults := map[string]Result{}
		for index := uint64(1); index <= 120; index++ {
			version := m.Version()
			command := func() Command { return randomCommand(rand.New(rand.NewPCG(seed, index)), version) }
			got, same := m.Apply(index, command()), restored.Apply(index, command())
			if !reflect.DeepEqual(got, same) {
				t.Fatalf("seed %d index %d: replicas return %v and %v", seed, index, got, same)
			}
			c := command()
			if earlier, ok := firstResults[c.RequestID]; ok && got.Outcome != OutcomeRequestIDReused && !reflect.DeepEqual(got, earlier) {
				t.Fatalf("seed %d index %d: resent command returned %v, first %v", seed, index, got, earlier)
			} else if !ok {
				firstResults[c.RequestID] = got
			}
			if got.Version == uint64(len(reference)) {
				reference = append(reference, applyToReference(reference, c))
			}
			if rng.IntN(10) == 0 {
				var err error
				if restored, err = Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		for version, want := range reference {
			got, ok := m.DocumentAt(uint64(version))
			if diff := Diff(got, want); !ok || diff.Size() != 0 {
				t.Fatalf("seed %d: version %d differs by %+v", seed, version, diff)
			}
		}
		if !reflect.DeepEqual(m.Snapshot(), restored.Snapshot()) {
			t.Fatalf("seed %d: replicas differ", seed)
		}
	}
}

func randomCommand(rng *rand.Rand, version uint64) Command {
	c := Command{RequestID: fmt.Sprint(rng.IntN(90)), ExpectedVersion: version - min(version, uint64(rng.IntN(6)/4)), ProposedAt: startTime}
	random := func() Service { return service(fmt.Sprintf("s%d", rng.IntN(8)), 1+rng.IntN(200)) }
	switch rng.IntN(6) {
	case 0:
		c.Kind, c.RollbackVersion = KindRollback, uint64(rng.IntN(int(version)+2))
	case 1:
		c.Kind, c.Document = KindApply, document()
		for range rng.IntN(5) {
			c.Document.Services = append(c.Document.Services, random())
		}
		c.Document.Defaults.Weight = uint32(rng.IntN(3)) * 100
	case 2:
		c.Kind, c.BackendServer = KindDrain+CommandKind(rng.IntN(2)), fmt.Sprintf("b%d", rng.IntN(3))
	default:
		c.Kind, c.Patch = KindPatch, &Patch{PutServices: []Service{random()}, DeleteServices: []string{random().Name}}
	}
	return c
}

func applyToReference(versions []*Document, c Command) *Document {
	current := versions[len(versions)-1]
	switch c.Kind {
	case KindApply:
		c.Document.Normalize()
		return c.Document
	case KindRollback:
		return versions[c.RollbackVersion]
	}
	next := &Document{Defaults: current.Defaults}
	for _, s := range current.Services {
		if s.Name != c.Patch.PutServices[0].Name && s.Name != c.Patch.DeleteServices[0] {
			next.Services = append(next.Services, s)
		}
	}
	next.Services = append(next.Services, c.Patch.PutServices...)
	next.Normalize()
	return next
}

// A backend server that an operator has drained stays drained after a restart, also if
// it is not a member at the moment.
func TestDrainsSurviveRestart(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.Apply(1, Command{Kind: KindDrain, BackendServer: "order-desk-3", Author: "steward"}).Outcome, OutcomeAccepted)
	is.Equal(m.Apply(2, Command{Kind: KindDrain, BackendServer: "order-desk-4"}).Outcome, OutcomeAccepted)
	is.Equal(m.Apply(3, Command{Kind: KindCancelDrain, BackendServer: "order-desk-4"}).Outcome, OutcomeAccepted)
	restored, err := Restore(m.Snapshot())
	is.NoErr(err)
	is.Equal(restored.Drains(), m.Drains())
	is.Equal(len(restored.Drains()), 1)
	is.Equal(restored.Drains()[0].BackendServer, "order-desk-3")
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	is := is.New(t)
	m := New()
	is.Equal(m.Apply(1, Command{Kind: KindApply, Document: sampleDocument()}).Outcome, OutcomeAccepted)
	for name, corrupt := range map[string]func(s *Snapshot){
		"format":   func(s *Snapshot) { s.Format++ },
		"document": func(s *Snapshot) { s.Document.Defaults.LeaseDuration = 0 },
		"ID":       func(s *Snapshot) { s.NextServiceID = 1 },
		"history":  func(s *Snapshot) { s.Version++ },
	} {
		s := m.Snapshot()
		corrupt(&s)
		_, err := Restore(s)
		if err == nil {
			t.Errorf("%s: invalid snapshot was restored", name)
		}
	}
}

func largeDocument(services int) *Document {
	d := document()
	for i := range services {
		s := service(fmt.Sprintf("service-%05d", i), 443)
		s.Addresses = []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 443)}
		d.Services = append(d.Services, s)
	}
	return d
}

// BenchmarkPatch changes one service of a fleet of the size expected in two years.
func BenchmarkPatch(b *testing.B) {
	m := New()
	m.Apply(1, Command{Kind: KindApply, Document: largeDocument(19_000)})
	changed := slices.Clone(m.Document().Services[9_000:9_001])
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		changed[0].Share = Share(i % 100)
		c := Command{Kind: KindPatch, ExpectedVersion: m.Version(), Patch: &Patch{PutServices: slices.Clone(changed)}}
		if m.Apply(uint64(i+2), c).Outcome != OutcomeAccepted {
			b.Fatal("not accepted")
		}
	}
}

// BenchmarkEffective computes the effective settings of every service of a fleet of the
// size expected in two years, with the maximum number of exceptions.
func BenchmarkEffective(b *testing.B) {
	d := largeDocument(19_000)
	for i := range maxExceptions {
		d.Exceptions = append(d.Exceptions, Exception{
			Name: fmt.Sprint(i), Scope: ScopeService, Target: d.Services[19*i].Name, Key: "weight", Value: "50",
		})
	}
	b.Run("resolver", func(b *testing.B) {
		for b.Loop() {
			r := NewResolver(d, startTime)
			for i := range d.Services {
				r.EffectiveSettings(Target{Service: d.Services[i].Name})
			}
		}
	})
	b.Run("document", func(b *testing.B) {
		for b.Loop() {
			for i := range d.Services {
				d.EffectiveSettings(Target{Service: d.Services[i].Name}, startTime)
			}
		}
	})
}
