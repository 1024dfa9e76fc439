package disk

import (
	"testing"

	"github.com/matryer/is"
)

// FuzzReadLog expects that what is read of a log reads back the same from the
// part that was kept.
func FuzzReadLog(f *testing.F) {
	b, ends := damagedLog(f)
	f.Add(b)
	f.Add(b[:ends[2]+5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		c, err := readLog("log", b)
		if err != nil {
			return
		}
		is.True(c.size <= int64(len(b)))
		again, err := readLog("log", b[:c.size])
		is.NoErr(err)
		is.Equal(again.size, c.size)
		is.Equal(len(again.entries), len(c.entries))
		is.Equal(again.hard, c.hard)
	})
}

// FuzzRecord decodes payloads behind a good checksum.
func FuzzRecord(f *testing.F) {
	b, ends := damagedLog(f)
	first, _ := readFrame(b)
	f.Add(b[ends[0]+frameHeaderBytes : ends[1]])
	f.Add(first.payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		c := logContent{frames: 1}
		if err := c.take("log", frame{sequence: 1, payload: payload}); err != nil {
			return
		}
		for i := 1; i < len(c.entries); i++ {
			if c.entries[i].Index != c.entries[i-1].Index+1 {
				t.Fatalf("entry %d follows entry %d", c.entries[i].Index, c.entries[i-1].Index)
			}
		}
	})
}

// FuzzReadSnapshot must refuse whatever it cannot decode.
func FuzzReadSnapshot(f *testing.F) {
	d := newMemFolder()
	s, err := openMem(d)
	if err != nil {
		f.Fatal(err)
	}
	if err := s.Save(bootstrap()); err != nil {
		f.Fatal(err)
	}
	b := d.names[snapshotName(1)].data
	f.Add(b)
	f.Add(b[:40])
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _ = readSnapshot("snapshot", b)
	})
}
