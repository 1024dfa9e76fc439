package disk

import (
	"fmt"

	"fulmarmount.org/core/quorum"
)

// formatVersion is the format version of log and snapshot files.
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

// record is the payload of a log frame: the result of one save. Its entries replace
// the log's entries from the first one's index on.
type record struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// logContent is the decoded content of a log file.
type logContent struct {
	header     header
	hardState  quorum.HardState
	entries    []quorum.Entry
	frameCount uint64 // valid frames; also the next sequence number
	validBytes int64  // length of the prefix of valid frames
}

// readLog decodes a log file. A torn last frame is left out; size tells where
// the file must be truncated.
func readLog(name string, b []byte) (logContent, error) {
	var c logContent
	for c.validBytes < int64(len(b)) {
		f, fault := readFrame(b[c.validBytes:])
		if fault != frameValid || f.sequence != c.frameCount {
			return c, checkTail(name, b, c.validBytes, f, fault)
		}
		if err := c.addFrame(name, f); err != nil {
			return c, err
		}
		c.validBytes += f.size
		c.frameCount++
	}
	if c.frameCount == 0 {
		return c, ErrCorrupt.New("file %q has no header", name)
	}
	return c, nil
}

// checkTail returns nil if the invalid frame at offset is a torn last frame.
func checkTail(name string, b []byte, offset int64, f frame, fault frameFault) error {
	if fault == frameValid {
		return ErrCorrupt.New("file %q, offset %d: frame %d is out of sequence", name, offset, f.sequence)
	}
	if validOffset := nextValidFrame(b, offset); validOffset >= 0 {
		return ErrCorrupt.New("file %q, offset %d: invalid frame before the valid one at offset %d", name, offset, validOffset)
	}
	if offset == 0 {
		return ErrCorrupt.New("file %q has no header", name)
	}
	if !isTornWrite(b, offset, f, fault) {
		return ErrCorrupt.New("file %q, offset %d: the last frame is corrupt and not torn", name, offset)
	}
	return nil
}

// addFrame decodes one valid frame and adds its content.
func (c *logContent) addFrame(name string, f frame) error {
	if c.frameCount == 0 {
		return decodeHeader(name, kindLog, f, &c.header)
	}
	var r record
	if err := decMode.Unmarshal(f.payload, &r); err != nil {
		return ErrCorrupt.Wrap(err, "file %q, offset %d: could not decode frame %d", name, c.validBytes, f.sequence)
	}
	if r.HardState != nil {
		c.hardState = *r.HardState
	}
	entries, err := mergeEntries(c.entries, r.Entries)
	if err != nil {
		return ErrCorrupt.Wrap(err, "file %q, offset %d", name, c.validBytes)
	}
	c.entries = entries
	return nil
}

// mergeEntries replaces the entries from the first index of next on by next. It
// fails if the result has a gap.
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
	if retained := first - start; retained < uint64(len(entries)) {
		entries = entries[:retained:retained] // forces append to copy: callers may hold the old slice
	}
	return append(entries, next...), nil
}

func decodeHeader(name, kind string, f frame, h *header) error {
	if err := decMode.Unmarshal(f.payload, h); err != nil {
		return ErrCorrupt.Wrap(err, "file %q: could not decode the header", name)
	}
	if h.Format != formatVersion {
		return ErrUnsupportedFormat.New("file %q has format version %d, this build reads version %d", name, h.Format, formatVersion)
	}
	if h.Kind != kind {
		return ErrIdentityMismatch.New("file %q is of kind %q, expected %q", name, h.Kind, kind)
	}
	return nil
}

// readSnapshot decodes a snapshot file. It accepts no torn frame, since the file is
// synced before it is renamed to its name.
func readSnapshot(name string, b []byte) (header, quorum.Snapshot, error) {
	var h header
	var s quorum.Snapshot
	first, fault := readFrame(b)
	if fault != frameValid {
		return h, s, ErrCorrupt.New("file %q, offset 0: header is corrupt", name)
	}
	if err := decodeHeader(name, kindSnapshot, first, &h); err != nil {
		return h, s, err
	}
	body, fault := readFrame(b[first.size:])
	if fault != frameValid || first.size+body.size != int64(len(b)) {
		return h, s, ErrCorrupt.New("file %q, offset %d: snapshot is corrupt", name, first.size)
	}
	if err := decMode.Unmarshal(body.payload, &s); err != nil {
		return h, s, ErrCorrupt.Wrap(err, "file %q, offset %d: could not decode the snapshot", name, first.size)
	}
	return h, s, nil
}
