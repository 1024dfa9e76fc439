package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/wal"
	"go.etcd.io/bbolt"

	"fulmarmount.org/core/quorum"
)

const commandBytes = 256

func benchEntries(first uint64, n int) []quorum.Entry {
	entries := make([]quorum.Entry, n)
	for i := range entries {
		entries[i] = quorum.Entry{Index: first + uint64(i), Term: 2, Kind: quorum.EntryCommand, Data: make([]byte, commandBytes)}
	}
	return entries
}

// saveFunc makes entries durable.
type saveFunc func(entries []quorum.Entry) error

// BenchmarkSave compares this package's log with two libraries, with real syncs.
// FULMARMOUNT_BENCH_FOLDER sets the parent directory, and so the disk.
func BenchmarkSave(b *testing.B) {
	stores := []struct {
		name string
		open func(b *testing.B, path string) saveFunc
	}{{"own", openStore}, {"wal", openWAL}, {"bbolt", openBolt}}
	for _, batch := range []int{1, 16, 128} {
		for _, s := range stores {
			b.Run(fmt.Sprintf("%s/batch=%d", s.name, batch), func(b *testing.B) {
				path, err := os.MkdirTemp(os.Getenv("FULMARMOUNT_BENCH_FOLDER"), "save")
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = os.RemoveAll(path) })
				benchSave(b, path, s.open(b, path), batch)
			})
		}
	}
}

func benchSave(b *testing.B, path string, save saveFunc, batch int) {
	index := uint64(2)
	for b.Loop() {
		if err := save(benchEntries(index, batch)); err != nil {
			b.Fatal(err)
		}
		index += uint64(batch)
	}
	commits := float64(b.N * batch)
	b.ReportMetric(commits/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(directoryBytes(b, path))/commits, "disk-B/commit")
}

func directoryBytes(b *testing.B, path string) (n int64) {
	files, err := filepath.Glob(filepath.Join(path, "*"))
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range files {
		if info, err := os.Stat(name); err == nil {
			n += info.Size()
		}
	}
	return n
}

func openStore(b *testing.B, path string) saveFunc {
	s, err := Open(Options{Dir: path})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Save(bootstrapReady()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	return func(entries []quorum.Entry) error { return s.Save(readyWithEntries(2, entries...)) }
}

func openWAL(b *testing.B, path string) saveFunc {
	log, err := wal.Open(path, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = log.Close() })
	return func(entries []quorum.Entry) error {
		var batch wal.Batch
		for _, e := range entries {
			payload, err := cbor.Marshal(e)
			if err != nil {
				return err
			}
			batch.Write(e.Index-1, payload)
		}
		return log.WriteBatch(&batch)
	}
}

func openBolt(b *testing.B, path string) saveFunc {
	db, err := bbolt.Open(filepath.Join(path, "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = db.Close() })
	return func(entries []quorum.Entry) error {
		return db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			for _, e := range entries {
				payload, err := cbor.Marshal(e)
				if err != nil {
					return err
				}
				if err := bucket.Put(fmt.Appendf(nil, "%016x", e.Index), payload); err != nil {
					return err
				}
			}
			return nil
		})
	}
}
