package disk

import (
	"math/rand/v2"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/quorum"
)

func coreConfig(s *Store) quorum.Config {
	state := s.State()
	return quorum.Config{
		ID: s.Replica(), Rand: rand.New(rand.NewPCG(1, 1)),
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	}
}

func removePrefix(d *memFolder, prefix string) {
	for name := range d.names {
		if strings.HasPrefix(name, prefix) {
			delete(d.names, name)
		}
	}
}

func edit(d *memFolder, prefix string, change func([]byte) []byte) {
	for name, i := range d.names {
		if strings.HasPrefix(name, prefix) {
			i.data = change(i.data)
		}
	}
}

// setHeader replaces the header of the snapshot.
func setHeader(d *memFolder, h header) {
	payload, err := cbor.Marshal(h)
	if err != nil {
		panic(err)
	}
	edit(d, snapshotPrefix, func(b []byte) []byte {
		first, _ := readFrame(b)
		return append(appendFrame(nil, 0, payload), b[first.size:]...)
	})
}
