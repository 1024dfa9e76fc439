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
	// Folder is created if it does not exist.
	Folder string
	// Random draws the identity of a new replica; nil is the system's source.
	Random io.Reader
	// Rewrite writes everything anew, for a folder in which a write has failed: what
	// reads back after a failed sync may not be on the disk, and a later sync may
	// not bring it there.
	Rewrite bool

	files folder // tests inject faults here
}

// State is what a replica continues from.
type State struct {
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
}

// Store is the durable state of one replica. It is not safe for concurrent use.
type Store struct {
	files   folder
	lock    *os.File
	replica quorum.ReplicaID

	log        file
	generation uint64 // of the log file
	sequence   uint64 // of the next frame in it
	state      State
	failed     error // set by the first write or sync that failed
	buffer     []byte
}

// Open opens the folder. An empty one becomes that of a new replica with an
// identity drawn at random.
func Open(o Options) (*Store, error) {
	s := &Store{files: o.files}
	if s.files == nil {
		if err := makeFolder(o.Folder); err != nil {
			return nil, Failed.Wrap(err, "folder %q cannot be made", o.Folder)
		}
		lock, err := lockFolder(o.Folder)
		if err != nil {
			return nil, err
		}
		s.files, s.lock = osFolder{o.Folder}, lock
	}
	random := o.Random
	if random == nil {
		random = rand.Reader
	}
	err := s.load(random)
	if err == nil && o.Rewrite {
		err = s.rewrite()
	}
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Replica returns the identity of the replica in the folder.
func (s *Store) Replica() quorum.ReplicaID { return s.replica }

// State returns what was saved. The caller must not change it.
func (s *Store) State() State { return s.state }

// Err returns why the store takes nothing more, or nil.
func (s *Store) Err() error { return s.failed }

// Close releases the folder. Everything saved is durable already.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
		s.log = nil
	}
	if s.lock != nil {
		err = errorx.DecorateMany("folder does not close", err, s.lock.Close())
		s.lock = nil
	}
	return err
}

// Save makes what rd asks for durable. Nothing may be acknowledged after an
// error.
func (s *Store) Save(rd quorum.Ready) error {
	if s.failed != nil {
		return s.failed
	}
	if rd.Snapshot != nil {
		return s.install(rd)
	}
	if rd.HardState != nil {
		s.state.HardState = *rd.HardState
	}
	if !rd.MustSync {
		// A greater commit index goes with the next record.
		return nil
	}
	return s.append(record{HardState: &s.state.HardState, Entries: rd.Entries})
}

// Compact saves a snapshot of the replica's own state and drops the entries
// before first.
func (s *Store) Compact(snapshot quorum.Snapshot, first uint64) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return s.fail(err, "snapshot %d", snapshot.Index)
	}
	s.state.Entries = dropBefore(s.state.Entries, first)
	return s.rewrite()
}

// install replaces everything by a leader's snapshot. The term reaches the
// disk first, since a snapshot of a greater term than the hard state's would
// be refused at the next start.
func (s *Store) install(rd quorum.Ready) error {
	if rd.HardState != nil {
		commit := s.state.HardState.Commit
		s.state.HardState = *rd.HardState
		before := s.state.HardState
		before.Commit = commit
		if err := s.append(record{HardState: &before}); err != nil {
			return err
		}
	}
	if err := s.writeSnapshot(*rd.Snapshot); err != nil {
		return s.fail(err, "snapshot %d", rd.Snapshot.Index)
	}
	s.state.Entries = slices.Clone(rd.Entries)
	return s.rewrite()
}

// append writes one record and syncs it.
func (s *Store) append(r record) error {
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
		return s.fail(err, "write of record %d", s.sequence)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(err, "sync of record %d", s.sequence)
	}
	s.sequence++
	s.state.Entries = entries
	return nil
}

// fail stops the store for good.
func (s *Store) fail(err error, format string, args ...any) error {
	s.failed = Failed.Wrap(err, format, args...)
	return s.failed
}

// drawReplica returns a random identity that is not zero.
func drawReplica(random io.Reader) (quorum.ReplicaID, error) {
	var b [8]byte
	for {
		if _, err := io.ReadFull(random, b[:]); err != nil {
			return 0, Failed.Wrap(err, "no randomness for a replica identity")
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return quorum.ReplicaID(id), nil
		}
	}
}
