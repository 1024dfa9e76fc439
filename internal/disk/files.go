package disk

import (
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/quorum"
)

// Prefixes of file names. The numbers after them are hexadecimal and of fixed
// width, so that names sort by number.
const (
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporaryPrefix = "temporary-"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// greatestNumber returns the greatest number among the names with the prefix, and
// whether there is one.
func greatestNumber(names []string, prefix string) (greatest uint64, found bool) {
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		var n uint64
		if !ok || len(digits) != 16 {
			continue
		}
		if _, err := fmt.Sscanf(digits, "%016x", &n); err != nil {
			continue
		}
		greatest, found = max(greatest, n), true
	}
	return greatest, found
}

// load reads the newest log and snapshot, or initializes an empty directory.
func (s *Store) load(random io.Reader) error {
	names, err := s.directory.List()
	if err != nil {
		return ErrIO.Wrap(err, "could not list the directory")
	}
	snapshot, hasSnapshot := greatestNumber(names, snapshotPrefix)
	generation, hasLog := greatestNumber(names, logPrefix)
	if !hasLog {
		if hasSnapshot {
			return ErrCorrupt.New("found snapshot file %q but no log file", snapshotName(snapshot))
		}
		return s.initialize(random)
	}
	s.generation = generation
	if err := s.loadLog(); err != nil {
		return err
	}
	if hasSnapshot {
		if err := s.loadSnapshot(snapshotName(snapshot)); err != nil {
			return err
		}
	}
	return s.removeObsoleteFiles()
}

// initialize draws the ID of a new replica and writes its first log.
func (s *Store) initialize(random io.Reader) error {
	id, err := randomReplicaID(random)
	if err != nil {
		return err
	}
	s.replica = id
	return s.rewriteLog()
}

func (s *Store) loadLog() error {
	name := logName(s.generation)
	b, err := s.directory.Read(name)
	if err != nil {
		return ErrIO.Wrap(err, "could not read file %q", name)
	}
	c, err := readLog(name, b)
	if err != nil {
		return err
	}
	if c.header.Cluster != 0 && c.header.Cluster != c.hardState.Cluster {
		return ErrIdentityMismatch.New("header of file %q names cluster %s, its hard state names %s", name, c.header.Cluster, c.hardState.Cluster)
	}
	s.replica, s.sequence = c.header.Replica, c.frameCount
	s.state.HardState, s.state.Entries = c.hardState, c.entries
	if s.log, err = s.directory.Append(name); err != nil {
		return ErrIO.Wrap(err, "could not open file %q", name)
	}
	if c.validBytes < int64(len(b)) {
		if err := s.log.Truncate(c.validBytes); err != nil {
			return s.fail(err, "truncate file %q at offset %d", name, c.validBytes)
		}
	}
	// The previous process may have stopped between a write and its sync.
	if err := s.log.Sync(); err != nil {
		return s.fail(err, "sync file %q", name)
	}
	return nil
}

func (s *Store) loadSnapshot(name string) error {
	b, err := s.directory.Read(name)
	if err != nil {
		return ErrIO.Wrap(err, "could not read file %q", name)
	}
	h, snapshot, err := readSnapshot(name, b)
	if err != nil {
		return err
	}
	if h.Replica != s.replica {
		return ErrIdentityMismatch.New("file %q belongs to replica %s, the log to %s", name, h.Replica, s.replica)
	}
	if h.Cluster != s.state.HardState.Cluster {
		return ErrIdentityMismatch.New("file %q belongs to cluster %s, the log to %s", name, h.Cluster, s.state.HardState.Cluster)
	}
	s.state.Snapshot = snapshot
	if len(s.state.Entries) > 0 && !quorum.LogMatchesSnapshot(s.state.Entries, snapshot) {
		// A crash occurred after the rename of the snapshot and before that of the
		// new log.
		s.state.Entries = nil
		return s.rewriteLog()
	}
	return nil
}

// writeSnapshot writes a snapshot file atomically and makes it the current one.
func (s *Store) writeSnapshot(snapshot quorum.Snapshot) error {
	body, err := cbor.Marshal(snapshot)
	if err != nil {
		return err
	}
	b, err := s.encodeHeaderFrame(kindSnapshot)
	if err != nil {
		return err
	}
	if err := s.writeFileAtomically(snapshotName(snapshot.Index), appendFrame(b, 1, body)); err != nil {
		return err
	}
	s.state.Snapshot = snapshot
	return nil
}

// encodeHeaderFrame returns the header frame of a file of the given kind.
func (s *Store) encodeHeaderFrame(kind string) ([]byte, error) {
	payload, err := cbor.Marshal(header{
		Format: formatVersion, Kind: kind, Replica: s.replica, Cluster: s.state.HardState.Cluster,
	})
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, 0, payload), nil
}

// writeFileAtomically writes a file so that after a crash it is either complete or
// absent: it writes and syncs a temporary file, renames it, and syncs the directory.
func (s *Store) writeFileAtomically(name string, b []byte) error {
	f, err := s.directory.Create(temporaryPrefix + name)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, b); err != nil {
		return err
	}
	if err := s.directory.Rename(temporaryPrefix+name, name); err != nil {
		return err
	}
	return s.directory.Sync()
}

func writeAndSync(f file, b []byte) error {
	if _, err := f.Write(b); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// maxRewriteRecordEntries is the maximum number of entries per record of a rewritten
// log.
const maxRewriteRecordEntries = 4096

// rewriteLog writes the next generation of the log from the state in memory and
// removes the files that it replaces.
func (s *Store) rewriteLog() error {
	b, err := s.encodeHeaderFrame(kindLog)
	if err != nil {
		return s.fail(err, "log %d", s.generation+1)
	}
	s.sequence = 1
	entries := s.state.Entries
	for first := true; first || len(entries) > 0; first = false {
		n := min(len(entries), maxRewriteRecordEntries)
		payload, err := cbor.Marshal(record{HardState: &s.state.HardState, Entries: entries[:n]})
		if err != nil {
			return s.fail(err, "log %d", s.generation+1)
		}
		b = appendFrame(b, s.sequence, payload)
		s.sequence++
		entries = entries[n:]
	}
	if err := s.writeFileAtomically(logName(s.generation+1), b); err != nil {
		return s.fail(err, "log %d", s.generation+1)
	}
	return s.openNextLog()
}

// openNextLog closes the log, opens its next generation and removes obsolete files.
func (s *Store) openNextLog() error {
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return s.fail(err, "close log %d", s.generation)
		}
	}
	s.generation++
	var err error
	if s.log, err = s.directory.Append(logName(s.generation)); err != nil {
		return s.fail(err, "open log %d", s.generation)
	}
	return s.removeObsoleteFiles()
}

// removeObsoleteFiles removes temporary files and those replaced by newer ones.
func (s *Store) removeObsoleteFiles() error {
	names, err := s.directory.List()
	if err != nil {
		return s.fail(err, "list the directory")
	}
	for _, name := range names {
		isObsolete := strings.HasPrefix(name, logPrefix) && name < logName(s.generation) ||
			strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(s.state.Snapshot.Index) ||
			strings.HasPrefix(name, temporaryPrefix)
		if !isObsolete {
			continue
		}
		if err := s.directory.Remove(name); err != nil {
			return s.fail(err, "remove file %q", name)
		}
	}
	return nil
}
