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

func openInMemory(d directoryFS) (*Store, error) {
	return Open(Options{directory: d, Rand: bytes.NewReader(testRandom)})
}

// bootstrapped returns a directory with the store of a newly bootstrapped cluster.
func bootstrapped(is *is.I) (*memDirectory, *Store) {
	is.Helper()
	d := newMemDirectory()
	s, err := openInMemory(d)
	is.NoErr(err)
	is.NoErr(s.Save(bootstrapReady()))
	return d, s
}

func entry(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Kind: quorum.EntryCommand, Data: []byte(fmt.Sprint("command ", index))}
}

func readyWithEntries(term uint64, entries ...quorum.Entry) quorum.Ready {
	hard := quorum.HardState{Cluster: testCluster, Term: term, Vote: 9, Commit: 1}
	return quorum.Ready{HardState: &hard, Entries: entries, MustSync: true}
}

func bootstrapReady() quorum.Ready {
	hard, snapshot := quorum.Bootstrap(testCluster, quorum.Member{ID: 9})
	return quorum.Ready{HardState: &hard, Snapshot: &snapshot, MustSync: true}
}

// storeOperations is a sequence of operations on a store that covers each kind of write.
var storeOperations = []func(*Store) error{
	func(s *Store) error { return s.Save(bootstrapReady()) },
	func(s *Store) error { return s.Save(readyWithEntries(2, entry(2, 2), entry(3, 2))) },
	func(s *Store) error { return s.Save(readyWithEntries(2, entry(4, 2))) },
	func(s *Store) error { return s.Save(readyWithEntries(3, entry(4, 3), entry(5, 3))) }, // replaces entry 4
	func(s *Store) error {
		return s.Compact(quorum.Snapshot{Index: 4, Term: 3, Membership: quorum.NewMembership(quorum.Member{ID: 9}), Data: []byte("state")}, 3)
	},
	func(s *Store) error { return s.Save(readyWithEntries(3, entry(6, 3))) },
	func(s *Store) error {
		rd := readyWithEntries(5)
		rd.HardState.Commit = 20
		rd.Snapshot = &quorum.Snapshot{Index: 20, Term: 5, Data: []byte("leader's")}
		return s.Save(rd)
	},
	func(s *Store) error { return s.Save(readyWithEntries(5, entry(21, 5))) },
}

func formatState(s *Store) string {
	state := s.State()
	var b strings.Builder
	fmt.Fprint(&b, state.HardState.Cluster, state.HardState.Term, state.HardState.Vote, " snapshot ", state.Snapshot.Index, string(state.Snapshot.Data))
	for _, e := range state.Entries {
		fmt.Fprint(&b, " ", e.Index, ".", e.Term, string(e.Data))
	}
	return b.String()
}

func TestStoreReopensWithSavedState(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "data")
	s, err := Open(Options{Dir: path})
	is.NoErr(err)
	id := s.Replica()
	_, err = Open(Options{Dir: path})
	is.True(errorx.IsOfType(err, ErrInUse))
	for _, step := range storeOperations {
		is.NoErr(step(s))
		before := formatState(s)
		is.NoErr(s.Close())
		s, err = Open(Options{Dir: path})
		is.NoErr(err)
		is.Equal(formatState(s), before)
		is.Equal(s.Replica(), id)
	}
	is.NoErr(s.Close())
	is.NoErr(os.RemoveAll(path))
	s, err = Open(Options{Dir: path})
	is.NoErr(err)
	is.True(s.Replica() != id) // an empty directory gets a new replica ID
	is.NoErr(s.Close())
}

// TestAcknowledgedStateSurvivesCrashAtEveryOperation crashes the store at each of
// its file operations, with some of the unsynced bytes and each subset of the unsynced
// names on disk. The reopened store must hold all acknowledged state, and repeating the
// interrupted operation must lead to the same state as without a crash.
func TestAcknowledgedStateSurvivesCrashAtEveryOperation(t *testing.T) {
	withoutCrash, err := runOperations(newMemDirectory())
	if err != nil {
		t.Fatal(err)
	}
	for _, unsyncedBytes := range []int{0, 1, 30, 1 << 20} {
		for failAt := 1; ; failAt++ {
			d := newMemDirectory()
			d.failAt = failAt
			acknowledged, err := runOperations(d)
			if err == nil {
				break // no operation left to fail
			}
			for _, durableNames := range subsets(d.unsyncedNames()) {
				crashPoint := fmt.Sprintf("operation %d, %d bytes, names %q", failAt, unsyncedBytes, durableNames)
				checkRestart(t, d.crash(unsyncedBytes, durableNames...), withoutCrash, acknowledged, crashPoint)
			}
		}
	}
}

// storeState summarizes the state of a store after an operation.
type storeState struct {
	digest     string
	term, last uint64
}

func stateOf(s *Store) storeState {
	state := s.State()
	m := storeState{digest: formatState(s), term: state.HardState.Term, last: state.Snapshot.Index}
	if n := len(state.Entries); n > 0 {
		m.last = max(m.last, state.Entries[n-1].Index)
	}
	return m
}

// runOperations runs storeOperations until one fails and returns the state after each
// acknowledged one.
func runOperations(d directoryFS) ([]storeState, error) {
	s, err := openInMemory(d)
	if err != nil {
		return nil, err
	}
	moments := []storeState{stateOf(s)}
	for _, step := range storeOperations {
		if err := step(s); err != nil {
			return moments, err
		}
		moments = append(moments, stateOf(s))
	}
	return moments, nil
}

func checkRestart(t *testing.T, d *memDirectory, withoutCrash, acknowledged []storeState, crashPoint string) {
	t.Helper()
	s, err := openInMemory(d)
	if err != nil {
		t.Fatalf("%s: %v", crashPoint, err)
	}
	if _, err := quorum.New(replicaConfig(s)); err != nil {
		t.Fatalf("%s: core rejects the state: %v", crashPoint, err)
	}
	n := len(acknowledged)
	if n == 0 {
		return // the crash interrupted the first start
	}
	got, want := stateOf(s), acknowledged[n-1]
	if got.term < want.term || got.last < want.last {
		t.Fatalf("%s: got state %q, older than the acknowledged %q", crashPoint, got.digest, want.digest)
	}
	if err := storeOperations[n-1](s); err != nil {
		t.Fatalf("%s: %v", crashPoint, err)
	}
	if got := formatState(s); got != withoutCrash[n].digest {
		t.Fatalf("%s: got state %q, want that without a crash, %q", crashPoint, got, withoutCrash[n].digest)
	}
	reopened, err := openInMemory(d.crash(0))
	if err != nil {
		t.Fatalf("%s, second restart: %v", crashPoint, err)
	}
	if got := formatState(reopened); got != withoutCrash[n].digest {
		t.Fatalf("%s, second restart: got state %q, want that without a crash, %q", crashPoint, got, withoutCrash[n].digest)
	}
}

// After the installation of a snapshot beyond the log's end, the log continues after
// the snapshot, even if a crash occurs between the write of the snapshot and that of
// the new log.
func TestLogContinuesAfterSnapshotBeyondItsEnd(t *testing.T) {
	is := is.New(t)
	interrupted := 0
	for failAt := 1; ; failAt++ {
		d, s := bootstrapped(is)
		is.NoErr(s.Save(readyWithEntries(2, entry(2, 2))))
		d.failAt = d.operations + failAt
		rd := readyWithEntries(2)
		rd.HardState.Commit = 20
		rd.Snapshot = &quorum.Snapshot{Index: 20, Term: 2, Data: []byte("leader's")}
		if s.Save(rd) == nil {
			break // no operation left to fail
		}
		next := d.crash(0, d.unsyncedNames()...)
		s, err := openInMemory(next)
		is.NoErr(err)
		if s.State().Snapshot.Index != 20 {
			continue
		}
		interrupted++
		is.NoErr(s.Save(readyWithEntries(2, entry(21, 2))))
		s, err = openInMemory(next.crash(0))
		is.NoErr(err)
		is.Equal(len(s.State().Entries), 1)
	}
	is.True(interrupted > 0)
}

func TestStoreRejectsWritesAfterWriteFailure(t *testing.T) {
	cases := []struct {
		name   string
		failAt int
	}{{"disk full", 1}, {"sync error", 2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, s := bootstrapped(is)
			is.NoErr(s.Save(readyWithEntries(2, entry(2, 2))))
			d.failAt, d.failOnce = d.operations+c.failAt, true // later operations succeed
			err := s.Save(readyWithEntries(3, entry(3, 3)))
			is.True(errorx.IsOfType(err, ErrIO))
			is.True(errorx.IsOfType(s.Save(readyWithEntries(2, entry(3, 2))), ErrIO)) // the failure is permanent
			is.True(errorx.IsOfType(s.Compact(quorum.Snapshot{Index: 2}, 3), ErrIO))
			is.True(s.Err() != nil)
			is.Equal(s.State().HardState.Term, uint64(2)) // what was not saved is not reported as saved
			s, err = openInMemory(d.crash(0))
			is.NoErr(err)
			is.Equal(len(s.State().Entries), 1)
		})
	}
}

// unsyncedSave returns a directory whose last save was written but not synced.
func unsyncedSave(t *testing.T, syncFails bool) *memDirectory {
	t.Helper()
	is := is.New(t)
	d, s := bootstrapped(is)
	is.NoErr(s.Save(readyWithEntries(2, entry(2, 2))))
	d.failAt, d.failOnce = d.operations+2, true // the sync
	is.True(s.Save(readyWithEntries(2, entry(3, 2))) != nil)
	if !syncFails { // the process stopped before the sync
		for _, i := range d.files {
			i.isFalselyClean = false
		}
	}
	return d
}

// A replica acknowledges the state that it starts with, so the state must survive the
// next crash even if the previous process wrote it without a successful sync.
func TestStateOfOpenedStoreIsDurable(t *testing.T) {
	cases := []struct {
		name      string
		syncFails bool
		rewrite   bool
	}{
		{"the process stopped before the sync", false, false},
		{"the sync failed and the same process reopens the store", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := unsyncedSave(t, c.syncFails)
			s, err := Open(Options{directory: d, Rand: bytes.NewReader(testRandom), RewriteOnOpen: c.rewrite})
			is.NoErr(err)
			before := formatState(s)
			is.Equal(len(s.State().Entries), 2)
			s, err = openInMemory(d.crash(0))
			is.NoErr(err)
			is.Equal(formatState(s), before)
		})
	}
}

// threeRecordLog returns a log of a header and three records, and the offset of each
// frame's end.
func threeRecordLog(t testing.TB) (b []byte, ends []int) {
	d := newMemDirectory()
	s, err := openInMemory(d)
	if err != nil {
		t.Fatal(err)
	}
	name := logName(s.generation)
	ends = append(ends, len(d.files[name].data))
	for i := range uint64(3) {
		e := entry(i+1, 1)
		e.Data = bytes.Repeat([]byte{'x'}, 600)
		if err := s.Save(readyWithEntries(1, e)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(d.files[name].data))
	}
	return d.files[name].data, ends
}

func TestTornLastFrameIsTruncated(t *testing.T) {
	b, ends := threeRecordLog(t)
	last := ends[len(ends)-2]
	zeroed := bytes.Clone(b)
	clear(zeroed[(last/sectorBytes+1)*sectorBytes:])
	cut := map[string][]byte{"unwritten sectors": zeroed, "all zeros": append(bytes.Clone(b[:last]), make([]byte, 700)...)}
	for n := last + 1; n < len(b); n++ {
		cut[fmt.Sprint("truncated at ", n)] = b[:n]
	}
	for name, b := range cut {
		c, err := readLog("log", b)
		if err != nil || c.validBytes != int64(last) || len(c.entries) != 2 {
			t.Fatalf("%s: %d entries, valid length %d, error %v", name, len(c.entries), c.validBytes, err)
		}
	}
}

func TestCorruptionIsReportedWithFileAndOffset(t *testing.T) {
	b, ends := threeRecordLog(t)
	start := 0
	for _, end := range ends {
		for at := start; at < end; at += 3 {
			corrupted := bytes.Clone(b)
			corrupted[at] ^= 0x40
			_, err := readLog("log-1", corrupted)
			if !errorx.IsOfType(err, ErrCorrupt) || !strings.Contains(err.Error(), `"log-1"`) {
				t.Fatalf("flipped bit at offset %d: %v", at, err)
			}
			if start > 0 && !strings.Contains(err.Error(), fmt.Sprintf("offset %d", start)) {
				t.Fatalf("flipped bit at offset %d: %v does not name offset %d", at, err, start)
			}
		}
		start = end
	}
	middle := bytes.Clone(b)
	clear(middle[ends[1] : ends[1]+sectorBytes])
	_, err := readLog("log-1", middle)
	if !errorx.IsOfType(err, ErrCorrupt) {
		t.Fatalf("zeroed sector in the middle: %v", err)
	}
}

func TestMismatchedFilesAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		tamper func(d *memDirectory)
		want   *errorx.Type
	}{
		{"missing log", func(d *memDirectory) { removeFiles(d, logPrefix) }, ErrCorrupt},
		{"empty log", func(d *memDirectory) { editFiles(d, logPrefix, func(b []byte) []byte { return nil }) }, ErrCorrupt},
		{"truncated snapshot", func(d *memDirectory) { editFiles(d, snapshotPrefix, func(b []byte) []byte { return b[:len(b)-1] }) }, ErrCorrupt},
		{"unsupported format version", func(d *memDirectory) { setSnapshotHeader(d, header{Format: 2, Kind: kindSnapshot}) }, ErrUnsupportedFormat},
		{"another file kind", func(d *memDirectory) { setSnapshotHeader(d, header{Format: 1, Kind: kindLog}) }, ErrIdentityMismatch},
		{"another replica", func(d *memDirectory) { setSnapshotHeader(d, header{Format: 1, Kind: kindSnapshot, Replica: 5}) }, ErrIdentityMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := bootstrapped(is)
			c.tamper(d)
			_, err := openInMemory(d)
			is.True(errorx.IsOfType(err, c.want))
		})
	}
}

func TestForceNewClusterStartsSingleVoterCluster(t *testing.T) {
	is := is.New(t)
	d, s := bootstrapped(is)
	change := quorum.Entry{Index: 3, Term: 2, Kind: quorum.EntryChange, Change: &quorum.ConfChange{Op: quorum.AddLearner, Member: quorum.Member{ID: 8}}}
	is.NoErr(s.Save(readyWithEntries(2, entry(2, 2), change)))
	is.NoErr(s.ForceNewCluster(99, quorum.Member{Name: "vm-1"}))
	s, err := openInMemory(d)
	is.NoErr(err)
	r, err := quorum.New(replicaConfig(s))
	is.NoErr(err)
	for r.Status().Role != quorum.Leader {
		r.Tick()
	}
	is.Equal(r.Status().Cluster, quorum.ClusterID(99))
	is.Equal(r.Status().CommitIndex, uint64(3))
	is.Equal(len(r.Status().Membership.Members), 1)
}
