package proto

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// minCompressedBytes is the least size of an encoding that is compressed. Smaller ones
	// fit a few packets.
	minCompressedBytes = 16 << 10
	// maxDecodedBytes bounds an encoding after it was decompressed.
	maxDecodedBytes = 64 << 20
	// compressedMark is the first byte of a body that is compressed (DEFLATE, RFC 1951).
	// Other bodies begin with the first byte of a CBOR map, 0xa0 to 0xbf.
	compressedMark = 0x00
)

// encode returns the CBOR encoding of content, compressed if it is large. It is done once
// for all daemons, and what a daemon gets of a service with many listeners is what takes
// the longest to send.
func encode(content any) ([]byte, error) {
	encoded, err := cbor.Marshal(content)
	if err != nil || len(encoded) < minCompressedBytes {
		return encoded, err
	}
	var body bytes.Buffer
	body.WriteByte(compressedMark)
	w, err := flate.NewWriter(&body, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// decode decodes a body that encode has returned.
func decode(body []byte, content any) error {
	if len(body) == 0 || body[0] != compressedMark {
		return cbor.Unmarshal(body, content)
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body[1:])), maxDecodedBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, content)
}
