package disk

import (
	"fmt"

	"fulmarmount.org/core/quorum"
)

// formatVersion is the version of both files.
const formatVersion = 1

// header is the first frame of every file.
type header struct {
	Format  uint32           `cbor:"1,keyasint"`
	Kind    string           `cbor:"2,keyasint"`
	Replica quorum.ReplicaID `cbor:"3,keyasint"`
	Cluster quorum.ClusterID `cbor:"4,keyasint"`
}

// The kinds of files.
const (
	kindLog      = "log"
	kindSnapshot = "snapshot"
)

// record is one save in the log. Entries replace those at or after the first
// one's index.
type record struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// logContent is what a log file holds.
type logContent struct {
	header  header
	hard    quorum.HardState
	entries []quorum.Entry
	frames  uint64 // also the next sequence number
	size    int64  // of the good part
}

// readLog decodes a log file. A torn last frame is left out; size tells where
// the file is to be cut.
func readLog(name string, b []byte) (logContent, error) {
	var c logContent
	for c.size < int64(len(b)) {
		f, fault := readFrame(b[c.size:])
		if fault != frameGood || f.sequence != c.frames {
			return c, checkTail(name, b, c.size, f, fault)
		}
		if err := c.take(name, f); err != nil {
			return c, err
		}
		c.size += f.size
		c.frames++
	}
	if c.frames == 0 {
		return c, Damaged.New("file %q has no header", name)
	}
	return c, nil
}

// checkTail returns nil if the bad frame at offset is a torn tail.
func checkTail(name string, b []byte, offset int64, f frame, fault frameFault) error {
	if fault == frameGood {
		return Damaged.New("file %q, offset %d: frame %d is out of sequence", name, offset, f.sequence)
	}
	if later := laterFrame(b, offset); later >= 0 {
		return Damaged.New("file %q, offset %d: bad frame before the good one at offset %d", name, offset, later)
	}
	if offset == 0 {
		return Damaged.New("file %q has no header", name)
	}
	if !torn(b, offset, f, fault) {
		return Damaged.New("file %q, offset %d: the last frame was written whole and has changed", name, offset)
	}
	return nil
}

// take adds one good frame.
func (c *logContent) take(name string, f frame) error {
	if c.frames == 0 {
		return decodeHeader(name, kindLog, f, &c.header)
	}
	var r record
	if err := decoding.Unmarshal(f.payload, &r); err != nil {
		return Damaged.Wrap(err, "file %q, offset %d: frame %d does not decode", name, c.size, f.sequence)
	}
	if r.HardState != nil {
		c.hard = *r.HardState
	}
	entries, err := mergeEntries(c.entries, r.Entries)
	if err != nil {
		return Damaged.Wrap(err, "file %q, offset %d", name, c.size)
	}
	c.entries = entries
	return nil
}

// mergeEntries lets next replace the entries at or after its first index.
func mergeEntries(entries, next []quorum.Entry) ([]quorum.Entry, error) {
	for i := range next {
		if i > 0 && next[i].Index != next[i-1].Index+1 {
			return nil, fmt.Errorf("entry %d follows entry %d", next[i].Index, next[i-1].Index)
		}
	}
	if len(next) == 0 {
		return entries, nil
	}
	if len(entries) == 0 {
		return append(entries, next...), nil
	}
	first, start := next[0].Index, entries[0].Index
	if first < start {
		return append([]quorum.Entry(nil), next...), nil
	}
	if first > start+uint64(len(entries)) {
		return nil, fmt.Errorf("entry %d follows entry %d", first, entries[len(entries)-1].Index)
	}
	if keep := first - start; keep < uint64(len(entries)) {
		entries = entries[:keep:keep] // what was handed out stays as it is
	}
	return append(entries, next...), nil
}

func decodeHeader(name, kind string, f frame, h *header) error {
	if err := decoding.Unmarshal(f.payload, h); err != nil {
		return Damaged.Wrap(err, "file %q: header does not decode", name)
	}
	if h.Format != formatVersion {
		return Format.New("file %q has format %d; this build reads format %d", name, h.Format, formatVersion)
	}
	if h.Kind != kind {
		return Foreign.New("file %q is a %q, not a %q", name, h.Kind, kind)
	}
	return nil
}

// readSnapshot decodes a snapshot file, which is never torn since it is
// renamed into place after its sync.
func readSnapshot(name string, b []byte) (header, quorum.Snapshot, error) {
	var h header
	var s quorum.Snapshot
	first, fault := readFrame(b)
	if fault != frameGood {
		return h, s, Damaged.New("file %q, offset 0: header is damaged", name)
	}
	if err := decodeHeader(name, kindSnapshot, first, &h); err != nil {
		return h, s, err
	}
	body, fault := readFrame(b[first.size:])
	if fault != frameGood || first.size+body.size != int64(len(b)) {
		return h, s, Damaged.New("file %q, offset %d: snapshot is damaged", name, first.size)
	}
	if err := decoding.Unmarshal(body.payload, &s); err != nil {
		return h, s, Damaged.Wrap(err, "file %q, offset %d: snapshot does not decode", name, first.size)
	}
	return h, s, nil
}
