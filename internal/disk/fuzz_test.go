package disk

import (
	"testing"

	"github.com/matryer/is"
)

// FuzzReadLog checks that a log reads the same after it is truncated to its valid
// part.
func FuzzReadLog(f *testing.F) {
	b, ends := threeRecordLog(f)
	f.Add(b)
	f.Add(b[:ends[2]+5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		c, err := readLog("log", b)
		if err != nil {
			return
		}
		is.True(c.validBytes <= int64(len(b)))
		again, err := readLog("log", b[:c.validBytes])
		is.NoErr(err)
		is.Equal(again.validBytes, c.validBytes)
		is.Equal(len(again.entries), len(c.entries))
		is.Equal(again.hardState, c.hardState)
	})
}

// FuzzRecord decodes arbitrary payloads of frames with valid checksums, and checks
// that the resulting entries have no gap.
func FuzzRecord(f *testing.F) {
	b, ends := threeRecordLog(f)
	first, _ := readFrame(b)
	f.Add(b[ends[0]+frameHeaderBytes : ends[1]])
	f.Add(first.payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		c := logContent{frameCount: 1}
		if err := c.addFrame("log", frame{sequence: 1, payload: payload}); err != nil {
			return
		}
		for i := 1; i < len(c.entries); i++ {
			if c.entries[i].Index != c.entries[i-1].Index+1 {
				t.Fatalf("entry %d follows entry %d", c.entries[i].Index, c.entries[i-1].Index)
			}
		}
	})
}

// FuzzReadSnapshot checks that invalid snapshot files cause no panic.
func FuzzReadSnapshot(f *testing.F) {
	d := newMemDirectory()
	s, err := openInMemory(d)
	if err != nil {
		f.Fatal(err)
	}
	if err := s.Save(bootstrapReady()); err != nil {
		f.Fatal(err)
	}
	b := d.files[snapshotName(1)].data
	f.Add(b)
	f.Add(b[:40])
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _ = readSnapshot("snapshot", b)
	})
}
