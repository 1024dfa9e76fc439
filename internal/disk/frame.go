package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A frame is a header of frameHeaderBytes and a payload, little endian:
//
//	0  magic
//	4  payload length
//	8  sequence number within the file
//	16 CRC-32C of the payload
//	20 CRC-32C of the 20 bytes before
const (
	frameHeaderBytes = 24
	frameMagic       = 0x31524d46
	sectorBytes      = 512
	minTornBytes     = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of payload to b.
func appendFrame(b []byte, sequence uint64, payload []byte) []byte {
	var h [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], sequence)
	binary.LittleEndian.PutUint32(h[16:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[20:], crc32.Checksum(h[:20], castagnoli))
	return append(append(b, h[:]...), payload...)
}

// frame is one decoded frame.
type frame struct {
	sequence uint64
	payload  []byte
	size     int64 // with its header
}

// frameFault says what is wrong with the bytes where a frame should start.
type frameFault int

const (
	frameGood    frameFault = iota
	frameShort              // the file ends within the frame
	frameBadHead            // the header does not match its checksum
	frameBadBody            // the payload does not match its checksum
)

// readFrame decodes the frame at the start of b.
func readFrame(b []byte) (frame, frameFault) {
	if len(b) < frameHeaderBytes {
		return frame{}, frameShort
	}
	head := b[:frameHeaderBytes]
	if binary.LittleEndian.Uint32(head) != frameMagic ||
		binary.LittleEndian.Uint32(head[20:]) != crc32.Checksum(head[:20], castagnoli) {
		return frame{}, frameBadHead
	}
	f := frame{sequence: binary.LittleEndian.Uint64(head[8:])}
	f.size = frameHeaderBytes + int64(binary.LittleEndian.Uint32(head[4:]))
	if int64(len(b)) < f.size {
		return f, frameShort
	}
	f.payload = b[frameHeaderBytes:f.size]
	if crc32.Checksum(f.payload, castagnoli) != binary.LittleEndian.Uint32(head[16:]) {
		return f, frameBadBody
	}
	return f, frameGood
}

// torn reports whether the bad frame at offset of the file b can be the trace
// of a write that a crash cut short: the file ends within it, or a whole
// sector of it, or its part of one, reads as zeros. Anything else was written
// whole and changed later.
func torn(b []byte, offset int64, f frame, fault frameFault) bool {
	if fault == frameShort {
		return true
	}
	end := int64(len(b))
	if fault == frameBadBody {
		end = offset + f.size
	}
	for at := offset; at < end; {
		next := min(end, (at/sectorBytes+1)*sectorBytes)
		if next-at >= minTornBytes && len(bytes.Trim(b[at:next], "\x00")) == 0 {
			return true
		}
		at = next
	}
	return false
}

// laterFrame returns the offset of a good frame after the bad one at offset,
// or -1.
func laterFrame(b []byte, offset int64) int64 {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := offset + 1; ; at++ {
		i := bytes.Index(b[at:], magic)
		if i < 0 {
			return -1
		}
		at += int64(i)
		if _, fault := readFrame(b[at:]); fault == frameGood {
			return at
		}
	}
}

// maxDecodedElements bounds the arrays in one frame.
const maxDecodedElements = 1 << 20

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDecodedElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()
