package disk

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

const testCluster quorum.ClusterID = 7

var testRandom = bytes.Repeat([]byte{1, 2, 3, 4, 5, 6, 7, 8}, 4)

func openMem(d folder) (*Store, error) {
	return Open(Options{files: d, Random: bytes.NewReader(testRandom)})
}

// bootstrapped returns a folder with the store of a cluster that has just begun.
func bootstrapped(is *is.I) (*memFolder, *Store) {
	is.Helper()
	d := newMemFolder()
	s, err := openMem(d)
	is.NoErr(err)
	is.NoErr(s.Save(bootstrap()))
	return d, s
}

func entry(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Kind: quorum.EntryCommand, Data: []byte(fmt.Sprint("command ", index))}
}

func saveEntries(term uint64, entries ...quorum.Entry) quorum.Ready {
	hard := quorum.HardState{Cluster: testCluster, Term: term, Vote: 9, Commit: 1}
	return quorum.Ready{HardState: &hard, Entries: entries, MustSync: true}
}

func bootstrap() quorum.Ready {
	hard, snapshot := quorum.Bootstrap(testCluster, quorum.Member{ID: 9})
	return quorum.Ready{HardState: &hard, Snapshot: &snapshot, MustSync: true}
}

// script is a life of a store; each step reports the state it acknowledged.
var script = []func(*Store) error{
	func(s *Store) error { return s.Save(bootstrap()) },
	func(s *Store) error { return s.Save(saveEntries(2, entry(2, 2), entry(3, 2))) },
	func(s *Store) error { return s.Save(saveEntries(2, entry(4, 2))) },
	func(s *Store) error { return s.Save(saveEntries(3, entry(4, 3), entry(5, 3))) }, // replaces entry 4
	func(s *Store) error {
		return s.Compact(quorum.Snapshot{Index: 4, Term: 3, Membership: quorum.NewMembership(quorum.Member{ID: 9}), Data: []byte("state")}, 3)
	},
	func(s *Store) error { return s.Save(saveEntries(3, entry(6, 3))) },
	func(s *Store) error {
		rd := saveEntries(5)
		rd.HardState.Commit = 20
		rd.Snapshot = &quorum.Snapshot{Index: 20, Term: 5, Data: []byte("leader's")}
		return s.Save(rd)
	},
	func(s *Store) error { return s.Save(saveEntries(5, entry(21, 5))) },
}

func digest(s *Store) string {
	state := s.State()
	var b strings.Builder
	fmt.Fprint(&b, state.HardState.Cluster, state.HardState.Term, state.HardState.Vote, " snapshot ", state.Snapshot.Index, string(state.Snapshot.Data))
	for _, e := range state.Entries {
		fmt.Fprint(&b, " ", e.Index, ".", e.Term, string(e.Data))
	}
	return b.String()
}

func TestStateReadsBack(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "data")
	s, err := Open(Options{Folder: path})
	is.NoErr(err)
	id := s.Replica()
	_, err = Open(Options{Folder: path})
	is.True(errorx.IsOfType(err, InUse))
	for _, step := range script {
		is.NoErr(step(s))
		before := digest(s)
		is.NoErr(s.Close())
		s, err = Open(Options{Folder: path})
		is.NoErr(err)
		is.Equal(digest(s), before)
		is.Equal(s.Replica(), id)
	}
	is.NoErr(s.Close())
	is.NoErr(os.RemoveAll(path))
	s, err = Open(Options{Folder: path})
	is.NoErr(err)
	is.True(s.Replica() != id) // a lost disk is a new replica
	is.NoErr(s.Close())
}

// TestEveryCrash lets each operation of the script be the last one before a
// crash, with some of the unsynced bytes and each choice of the unsynced names on
// disk. What was acknowledged must be there, and the step that was cut short must
// lead to the same state again.
func TestEveryCrash(t *testing.T) {
	clean, err := live(newMemFolder())
	if err != nil {
		t.Fatal(err)
	}
	for _, tail := range []int{0, 1, 30, 1 << 20} {
		for failAt := 1; ; failAt++ {
			d := newMemFolder()
			d.failAt = failAt
			acknowledged, err := live(d)
			if err == nil {
				break // no operation left to fail
			}
			for _, kept := range subsets(d.unsynced()) {
				where := fmt.Sprintf("operation %d, %d bytes, names %q", failAt, tail, kept)
				checkRestart(t, d.crash(tail, kept...), clean, acknowledged, where)
			}
		}
	}
}

// moment is the state of a store after a step.
type moment struct {
	digest     string
	term, last uint64
}

func momentOf(s *Store) moment {
	state := s.State()
	m := moment{digest: digest(s), term: state.HardState.Term, last: state.Snapshot.Index}
	if n := len(state.Entries); n > 0 {
		m.last = max(m.last, state.Entries[n-1].Index)
	}
	return m
}

// live runs the script and returns the moments it acknowledged.
func live(d folder) ([]moment, error) {
	s, err := openMem(d)
	if err != nil {
		return nil, err
	}
	moments := []moment{momentOf(s)}
	for _, step := range script {
		if err := step(s); err != nil {
			return moments, err
		}
		moments = append(moments, momentOf(s))
	}
	return moments, nil
}

func checkRestart(t *testing.T, d *memFolder, clean, acknowledged []moment, where string) {
	t.Helper()
	s, err := openMem(d)
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if _, err := quorum.New(coreConfig(s)); err != nil {
		t.Fatalf("%s: core refuses the state: %v", where, err)
	}
	n := len(acknowledged)
	if n == 0 {
		return // the first start was cut short
	}
	got, want := momentOf(s), acknowledged[n-1]
	if got.term < want.term || got.last < want.last {
		t.Fatalf("%s: found %q after %q", where, got.digest, want.digest)
	}
	if err := script[n-1](s); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if got := digest(s); got != clean[n].digest {
		t.Fatalf("%s: found %q, without a crash %q", where, got, clean[n].digest)
	}
	again, err := openMem(d.crash(0))
	if err != nil {
		t.Fatalf("%s, second restart: %v", where, err)
	}
	if got := digest(again); got != clean[n].digest {
		t.Fatalf("%s, second restart: found %q, without a crash %q", where, got, clean[n].digest)
	}
}

// The log of a replica that got a snapshot goes on behind the snapshot, wherever
// the crash came between the two.
func TestLogGoesOnBehindASnapshotThatItDoesNotReach(t *testing.T) {
	is := is.New(t)
	cut := 0
	for failAt := 1; ; failAt++ {
		d, s := bootstrapped(is)
		is.NoErr(s.Save(saveEntries(2, entry(2, 2))))
		d.failAt = d.operations + failAt
		rd := saveEntries(2)
		rd.HardState.Commit = 20
		rd.Snapshot = &quorum.Snapshot{Index: 20, Term: 2, Data: []byte("leader's")}
		if s.Save(rd) == nil {
			break // no operation left to fail
		}
		next := d.crash(0, d.unsynced()...)
		s, err := openMem(next)
		is.NoErr(err)
		if s.State().Snapshot.Index != 20 {
			continue
		}
		cut++
		is.NoErr(s.Save(saveEntries(2, entry(21, 2))))
		s, err = openMem(next.crash(0))
		is.NoErr(err)
		is.Equal(len(s.State().Entries), 1)
	}
	is.True(cut > 0)
}

func TestFailStop(t *testing.T) {
	cases := []struct {
		name   string
		failAt int
	}{{"disk full", 1}, {"sync error", 2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, s := bootstrapped(is)
			is.NoErr(s.Save(saveEntries(2, entry(2, 2))))
			d.failAt, d.failOnce = d.operations+c.failAt, true // it works again at once
			err := s.Save(saveEntries(2, entry(3, 2)))
			is.True(errorx.IsOfType(err, Failed))
			is.True(errorx.IsOfType(s.Save(saveEntries(2, entry(3, 2))), Failed)) // still
			is.True(errorx.IsOfType(s.Compact(quorum.Snapshot{Index: 2}, 3), Failed))
			is.True(s.Err() != nil)
			s, err = openMem(d.crash(0))
			is.NoErr(err)
			is.Equal(len(s.State().Entries), 1)
		})
	}
}

// unsynced returns a folder whose last save was written and not synced, and the
// number of entries that read back.
func unsynced(t *testing.T, syncFails bool) *memFolder {
	t.Helper()
	is := is.New(t)
	d, s := bootstrapped(is)
	is.NoErr(s.Save(saveEntries(2, entry(2, 2))))
	d.failAt, d.failOnce = d.operations+2, true // the sync
	is.True(s.Save(saveEntries(2, entry(3, 2))) != nil)
	if !syncFails { // the process ended before it asked for the sync
		for _, i := range d.names {
			i.dropped = false
		}
	}
	return d
}

// What a replica starts with it answers for, so it must outlive the next crash.
func TestWhatOpensIsOnTheDisk(t *testing.T) {
	cases := []struct {
		name      string
		syncFails bool
		rewrite   bool
	}{
		{"the process ended before its sync", false, false},
		{"the sync failed, and the same process opens the store again", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := unsynced(t, c.syncFails)
			s, err := Open(Options{files: d, Random: bytes.NewReader(testRandom), Rewrite: c.rewrite})
			is.NoErr(err)
			before := digest(s)
			is.Equal(len(s.State().Entries), 2)
			s, err = openMem(d.crash(0))
			is.NoErr(err)
			is.Equal(digest(s), before)
		})
	}
}

// damagedLog returns a log of one header and three records, and where they end.
func damagedLog(t testing.TB) (b []byte, ends []int) {
	d := newMemFolder()
	s, err := openMem(d)
	if err != nil {
		t.Fatal(err)
	}
	name := logName(s.generation)
	ends = append(ends, len(d.names[name].data))
	for i := range uint64(3) {
		e := entry(i+1, 1)
		e.Data = bytes.Repeat([]byte{'x'}, 600)
		if err := s.Save(saveEntries(1, e)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(d.names[name].data))
	}
	return d.names[name].data, ends
}

func TestTornTailIsCut(t *testing.T) {
	b, ends := damagedLog(t)
	last := ends[len(ends)-2]
	zeroed := bytes.Clone(b)
	clear(zeroed[(last/sectorBytes+1)*sectorBytes:])
	cut := map[string][]byte{"sectors that never arrived": zeroed, "all zeros": append(bytes.Clone(b[:last]), make([]byte, 700)...)}
	for n := last + 1; n < len(b); n++ {
		cut[fmt.Sprint("cut at ", n)] = b[:n]
	}
	for name, b := range cut {
		c, err := readLog("log", b)
		if err != nil || c.size != int64(last) || len(c.entries) != 2 {
			t.Fatalf("%s: %d entries, cut at %d, %v", name, len(c.entries), c.size, err)
		}
	}
}

func TestDamageIsReportedWithItsPlace(t *testing.T) {
	b, ends := damagedLog(t)
	start := 0
	for _, end := range ends {
		for at := start; at < end; at += 3 {
			bad := bytes.Clone(b)
			bad[at] ^= 0x40
			_, err := readLog("log-1", bad)
			if !errorx.IsOfType(err, Damaged) || !strings.Contains(err.Error(), `"log-1"`) {
				t.Fatalf("flip at %d: %v", at, err)
			}
			if start > 0 && !strings.Contains(err.Error(), fmt.Sprintf("offset %d", start)) {
				t.Fatalf("flip at %d: %v does not name offset %d", at, err, start)
			}
		}
		start = end
	}
	middle := bytes.Clone(b)
	clear(middle[ends[1] : ends[1]+sectorBytes])
	_, err := readLog("log-1", middle)
	if !errorx.IsOfType(err, Damaged) {
		t.Fatalf("zeroed middle: %v", err)
	}
}

func TestForeignFilesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(d *memFolder)
		want  *errorx.Type
	}{
		{"log is gone", func(d *memFolder) { removePrefix(d, logPrefix) }, Damaged},
		{"empty log", func(d *memFolder) { edit(d, logPrefix, func(b []byte) []byte { return nil }) }, Damaged},
		{"cut snapshot", func(d *memFolder) { edit(d, snapshotPrefix, func(b []byte) []byte { return b[:len(b)-1] }) }, Damaged},
		{"later format", func(d *memFolder) { setHeader(d, header{Format: 2, Kind: kindSnapshot}) }, Format},
		{"another kind", func(d *memFolder) { setHeader(d, header{Format: 1, Kind: kindLog}) }, Foreign},
		{"another replica", func(d *memFolder) { setHeader(d, header{Format: 1, Kind: kindSnapshot, Replica: 5}) }, Foreign},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := bootstrapped(is)
			c.spoil(d)
			_, err := openMem(d)
			is.True(errorx.IsOfType(err, c.want))
		})
	}
}

func TestRecoverStartsANewCluster(t *testing.T) {
	is := is.New(t)
	d, s := bootstrapped(is)
	change := quorum.Entry{Index: 3, Term: 2, Kind: quorum.EntryChange, Change: &quorum.ConfChange{Op: quorum.AddLearner, Member: quorum.Member{ID: 8}}}
	is.NoErr(s.Save(saveEntries(2, entry(2, 2), change)))
	is.NoErr(s.Recover(99, quorum.Member{Name: "vm-1"}))
	s, err := openMem(d)
	is.NoErr(err)
	r, err := quorum.New(coreConfig(s))
	is.NoErr(err)
	for r.Status().Role != quorum.Leader {
		r.Tick()
	}
	is.Equal(r.Status().Cluster, quorum.ClusterID(99))
	is.Equal(r.Status().CommitIndex, uint64(3))
	is.Equal(len(r.Status().Membership.Members), 1)
}
