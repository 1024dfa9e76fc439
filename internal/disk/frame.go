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
//	20 CRC-32C of the preceding 20 bytes
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
	size     int64 // including the header
}

// frameFault is the result of the validation of a frame.
type frameFault int

const (
	frameValid          frameFault = iota
	frameTruncated                 // the file ends within the frame
	frameHeaderCorrupt             // the header does not match its checksum
	framePayloadCorrupt            // the payload does not match its checksum
)

// readFrame decodes the frame at the start of b.
func readFrame(b []byte) (frame, frameFault) {
	if len(b) < frameHeaderBytes {
		return frame{}, frameTruncated
	}
	head := b[:frameHeaderBytes]
	if binary.LittleEndian.Uint32(head) != frameMagic ||
		binary.LittleEndian.Uint32(head[20:]) != crc32.Checksum(head[:20], castagnoli) {
		return frame{}, frameHeaderCorrupt
	}
	f := frame{sequence: binary.LittleEndian.Uint64(head[8:])}
	f.size = frameHeaderBytes + int64(binary.LittleEndian.Uint32(head[4:]))
	if int64(len(b)) < f.size {
		return f, frameTruncated
	}
	f.payload = b[frameHeaderBytes:f.size]
	if crc32.Checksum(f.payload, castagnoli) != binary.LittleEndian.Uint32(head[16:]) {
		return f, framePayloadCorrupt
	}
	return f, frameValid
}

// isTornWrite reports whether the invalid frame at offset of the file b can result
// from a write that a crash interrupted: the file ends within the frame, or the
// frame's part of a sector, at least minTornBytes long, reads as zeros. Any other
// frame was written completely and corrupted later.
func isTornWrite(b []byte, offset int64, f frame, fault frameFault) bool {
	if fault == frameTruncated {
		return true
	}
	end := int64(len(b))
	if fault == framePayloadCorrupt {
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

// nextValidFrame returns the offset of the first valid frame after the invalid one at
// offset, or -1.
func nextValidFrame(b []byte, offset int64) int64 {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := offset + 1; ; at++ {
		i := bytes.Index(b[at:], magic)
		if i < 0 {
			return -1
		}
		at += int64(i)
		if _, fault := readFrame(b[at:]); fault == frameValid {
			return at
		}
	}
}

// maxDecodedElements limits the length of each array in a frame.
const maxDecodedElements = 1 << 20

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDecodedElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()
