package disk

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"os"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/quorum"
)

// Options configures Open.
type Options struct {
	// Dir is the directory of the store. It is created if it does not exist.
	Dir string
	// Rand is the source of randomness for the ID of a new replica; if nil,
	// crypto/rand.Reader is used.
	Rand io.Reader
	// RewriteOnOpen rewrites the log after reading it, for a directory in which a write
	// has failed: data that can be read after a failed sync may not be on disk, and
	// a later sync may not write it.
	RewriteOnOpen bool

	directory directoryFS // tests inject faults here
}

// State is the persistent state from which a replica starts.
type State struct {
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
}

// Store is the durable state of one replica. It is not safe for concurrent use.
type Store struct {
	directory directoryFS
	lock      *os.File
	replica   quorum.ReplicaID

	log        file
	generation uint64 // number of the log file
	sequence   uint64 // sequence number of the log's next frame
	state      State
	failure    error // set by the first failed write or sync
	buffer     []byte
}

// Open opens the store in a directory. It initializes an empty directory for a new
// replica with a random ID.
func Open(o Options) (*Store, error) {
	s := &Store{directory: o.directory}
	if s.directory == nil {
		if err := createDirectory(o.Dir); err != nil {
			return nil, ErrIO.Wrap(err, "could not create directory %q", o.Dir)
		}
		lock, err := lockDirectory(o.Dir)
		if err != nil {
			return nil, err
		}
		s.directory, s.lock = osDirectory{o.Dir}, lock
	}
	random := o.Rand
	if random == nil {
		random = rand.Reader
	}
	err := s.load(random)
	if err == nil && o.RewriteOnOpen {
		err = s.rewriteLog()
	}
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Replica returns the ID of the replica that the store belongs to.
func (s *Store) Replica() quorum.ReplicaID { return s.replica }

// State returns the saved state. The caller must not modify it.
func (s *Store) State() State { return s.state }

// Err returns the failure that stopped the store, or nil.
func (s *Store) Err() error { return s.failure }

// Close closes the log and releases the directory's lock. Saved state is already
// durable.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
		s.log = nil
	}
	if s.lock != nil {
		err = errorx.DecorateMany("could not close the store", err, s.lock.Close())
		s.lock = nil
	}
	return err
}

// Save makes the hard state, entries and snapshot of rd durable, except for a hard
// state that needs no sync. The caller must acknowledge nothing after an error.
func (s *Store) Save(rd quorum.Ready) error {
	if s.failure != nil {
		return s.failure
	}
	if rd.Snapshot != nil {
		return s.installSnapshot(rd)
	}
	next := s.state.HardState
	if rd.HardState != nil {
		next = *rd.HardState
	}
	if !rd.MustSync {
		// Only the commit index changed: the next record includes it.
		s.state.HardState = next
		return nil
	}
	if err := s.appendRecord(record{HardState: &next, Entries: rd.Entries}); err != nil {
		return err
	}
	s.state.HardState = next
	return nil
}

// Compact saves a snapshot of the replica's own state and discards the entries
// before first.
func (s *Store) Compact(snapshot quorum.Snapshot, first uint64) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return s.fail(err, "snapshot %d", snapshot.Index)
	}
	s.state.Entries = entriesFrom(s.state.Entries, first)
	return s.rewriteLog()
}

// installSnapshot replaces log and snapshot by a leader's snapshot. The new term is
// made durable first, since the next start would reject a snapshot whose term is
// greater than the hard state's.
func (s *Store) installSnapshot(rd quorum.Ready) error {
	next := s.state.HardState
	if rd.HardState != nil {
		next = *rd.HardState
		uncommitted := next
		uncommitted.Commit = s.state.HardState.Commit
		if err := s.appendRecord(record{HardState: &uncommitted}); err != nil {
			return err
		}
		s.state.HardState = uncommitted
	}
	if err := s.writeSnapshot(*rd.Snapshot); err != nil {
		return s.fail(err, "snapshot %d", rd.Snapshot.Index)
	}
	s.state.HardState, s.state.Entries = next, slices.Clone(rd.Entries)
	return s.rewriteLog()
}

// appendRecord appends a record to the log and syncs the log.
func (s *Store) appendRecord(r record) error {
	entries, err := mergeEntries(s.state.Entries, r.Entries)
	if err != nil {
		return s.fail(err, "record %d", s.sequence)
	}
	payload, err := cbor.Marshal(r)
	if err != nil {
		return s.fail(err, "record %d", s.sequence)
	}
	s.buffer = appendFrame(s.buffer[:0], s.sequence, payload)
	if _, err := s.log.Write(s.buffer); err != nil {
		return s.fail(err, "write record %d", s.sequence)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(err, "sync record %d", s.sequence)
	}
	s.sequence++
	s.state.Entries = entries
	return nil
}

// fail stops the store permanently and returns the wrapped error.
func (s *Store) fail(err error, format string, args ...any) error {
	s.failure = ErrIO.Wrap(err, format, args...)
	return s.failure
}

// randomReplicaID returns a random ID other than zero.
func randomReplicaID(random io.Reader) (quorum.ReplicaID, error) {
	var b [8]byte
	for {
		if _, err := io.ReadFull(random, b[:]); err != nil {
			return 0, ErrIO.Wrap(err, "could not read random bytes for a replica ID")
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return quorum.ReplicaID(id), nil
		}
	}
}
