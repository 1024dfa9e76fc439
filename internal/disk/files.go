package disk

import (
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/quorum"
)

// Names of files. Numbers are hexadecimal and of fixed width, so names sort.
const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = "temporary-"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// numbered returns the greatest number among the names with prefix.
func numbered(names []string, prefix string) (greatest uint64, found bool) {
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

// load reads the newest files, or starts new ones in an empty folder.
func (s *Store) load(random io.Reader) error {
	names, err := s.files.List()
	if err != nil {
		return Failed.Wrap(err, "folder cannot be listed")
	}
	snapshot, hasSnapshot := numbered(names, snapshotPrefix)
	generation, hasLog := numbered(names, logPrefix)
	if !hasLog {
		if hasSnapshot {
			return Damaged.New("file %q is there and the log is not", snapshotName(snapshot))
		}
		return s.create(random)
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
	return s.clean()
}

// create starts the folder of a new replica.
func (s *Store) create(random io.Reader) error {
	id, err := drawReplica(random)
	if err != nil {
		return err
	}
	s.replica = id
	return s.rewrite()
}

func (s *Store) loadLog() error {
	name := logName(s.generation)
	b, err := s.files.Read(name)
	if err != nil {
		return Failed.Wrap(err, "file %q cannot be read", name)
	}
	c, err := readLog(name, b)
	if err != nil {
		return err
	}
	if c.header.Cluster != 0 && c.header.Cluster != c.hard.Cluster {
		return Foreign.New("file %q is of cluster %s and holds state of %s", name, c.header.Cluster, c.hard.Cluster)
	}
	s.replica, s.sequence = c.header.Replica, c.frames
	s.state.HardState, s.state.Entries = c.hard, c.entries
	if s.log, err = s.files.Append(name); err != nil {
		return Failed.Wrap(err, "file %q cannot be opened", name)
	}
	if c.size < int64(len(b)) {
		if err := s.log.Truncate(c.size); err != nil {
			return s.fail(err, "cut of file %q at offset %d", name, c.size)
		}
	}
	// The process before may have ended between a write and its sync.
	if err := s.log.Sync(); err != nil {
		return s.fail(err, "sync of file %q", name)
	}
	return nil
}

func (s *Store) loadSnapshot(name string) error {
	b, err := s.files.Read(name)
	if err != nil {
		return Failed.Wrap(err, "file %q cannot be read", name)
	}
	h, snapshot, err := readSnapshot(name, b)
	if err != nil {
		return err
	}
	if h.Replica != s.replica {
		return Foreign.New("file %q is of replica %s and the log of %s", name, h.Replica, s.replica)
	}
	if h.Cluster != s.state.HardState.Cluster {
		return Foreign.New("file %q is of cluster %s and the log of %s", name, h.Cluster, s.state.HardState.Cluster)
	}
	s.state.Snapshot = snapshot
	if len(s.state.Entries) > 0 && !quorum.LogMatchesSnapshot(s.state.Entries, snapshot) {
		// A crash came between the snapshot's rename and the new log's.
		s.state.Entries = nil
		return s.rewrite()
	}
	return nil
}

// writeSnapshot puts a snapshot in place: temporary file, sync, rename, sync
// of the folder.
func (s *Store) writeSnapshot(snapshot quorum.Snapshot) error {
	body, err := cbor.Marshal(snapshot)
	if err != nil {
		return err
	}
	b, err := s.start(kindSnapshot)
	if err != nil {
		return err
	}
	if err := s.replace(snapshotName(snapshot.Index), appendFrame(b, 1, body)); err != nil {
		return err
	}
	s.state.Snapshot = snapshot
	return nil
}

// start returns the header frame of a file.
func (s *Store) start(kind string) ([]byte, error) {
	payload, err := cbor.Marshal(header{
		Format: formatVersion, Kind: kind, Replica: s.replica, Cluster: s.state.HardState.Cluster,
	})
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, 0, payload), nil
}

// replace writes a whole file so that after a crash it is there or it is not.
func (s *Store) replace(name string, b []byte) error {
	f, err := s.files.Create(temporary + name)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, b); err != nil {
		return err
	}
	if err := s.files.Rename(temporary+name, name); err != nil {
		return err
	}
	return s.files.Sync()
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

// rewriteEntries is the number of entries per record of a rewritten log.
const rewriteEntries = 4096

// rewrite starts the next generation of the log with the state in memory and
// removes what it replaces.
func (s *Store) rewrite() error {
	b, err := s.start(kindLog)
	if err != nil {
		return s.fail(err, "log %d", s.generation+1)
	}
	s.sequence = 1
	entries := s.state.Entries
	for first := true; first || len(entries) > 0; first = false {
		n := min(len(entries), rewriteEntries)
		payload, err := cbor.Marshal(record{HardState: &s.state.HardState, Entries: entries[:n]})
		if err != nil {
			return s.fail(err, "log %d", s.generation+1)
		}
		b = appendFrame(b, s.sequence, payload)
		s.sequence++
		entries = entries[n:]
	}
	if err := s.replace(logName(s.generation+1), b); err != nil {
		return s.fail(err, "log %d", s.generation+1)
	}
	return s.switchLog()
}

// switchLog moves to the next generation.
func (s *Store) switchLog() error {
	if s.log != nil {
		if err := s.log.Close(); err != nil {
			return s.fail(err, "close of log %d", s.generation)
		}
	}
	s.generation++
	var err error
	if s.log, err = s.files.Append(logName(s.generation)); err != nil {
		return s.fail(err, "open of log %d", s.generation)
	}
	return s.clean()
}

// clean removes files that newer ones replace.
func (s *Store) clean() error {
	names, err := s.files.List()
	if err != nil {
		return s.fail(err, "list of the folder")
	}
	for _, name := range names {
		old := strings.HasPrefix(name, logPrefix) && name < logName(s.generation) ||
			strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(s.state.Snapshot.Index) ||
			strings.HasPrefix(name, temporary)
		if !old {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return s.fail(err, "removal of %q", name)
		}
	}
	return nil
}
