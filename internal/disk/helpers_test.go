package disk

import (
	"math/rand/v2"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/quorum"
)

func replicaConfig(s *Store) quorum.Config {
	state := s.State()
	return quorum.Config{
		ID: s.Replica(), Rand: rand.New(rand.NewPCG(1, 1)),
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	}
}

func removeFiles(d *memDirectory, prefix string) {
	for name := range d.files {
		if strings.HasPrefix(name, prefix) {
			delete(d.files, name)
		}
	}
}

func editFiles(d *memDirectory, prefix string, change func([]byte) []byte) {
	for name, i := range d.files {
		if strings.HasPrefix(name, prefix) {
			i.data = change(i.data)
		}
	}
}

// setSnapshotHeader replaces the header frame of the snapshot file.
func setSnapshotHeader(d *memDirectory, h header) {
	payload, err := cbor.Marshal(h)
	if err != nil {
		panic(err)
	}
	editFiles(d, snapshotPrefix, func(b []byte) []byte {
		first, _ := readFrame(b)
		return append(appendFrame(nil, 0, payload), b[first.size:]...)
	})
}
