package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"math/rand/v2"
)

// maxSheet bounds the size of a catalogue sheet, in bytes.
const maxSheet = 1 << 30

// sheetReader returns the body of the sheet of a given size. The same size
// always gives the same bytes.
func sheetReader(bytes int64) io.Reader {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], uint64(bytes))
	return io.LimitReader(rand.NewChaCha8(seed), bytes)
}

// sheetDigest returns the Content-Digest field of a sheet, as in RFC 9530.
func sheetDigest(bytes int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, sheetReader(bytes)) // Neither side returns an error.
	return formatDigest(h.Sum(nil))
}

func formatDigest(sum []byte) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum) + ":"
}
