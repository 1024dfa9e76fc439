package placement

import (
	"math"
	"math/bits"
)

const (
	logTableBits = 10
	logUnit      = 1 << 32 // fixed-point one of logCost
)

// logTable holds log2(1+i/1024) in units of 1/logUnit.
var logTable = func() (table [1<<logTableBits + 1]uint64) {
	for i := range table {
		table[i] = uint64(math.Round(math.Log2(1+float64(i)/(1<<logTableBits)) * logUnit))
	}
	return table
}()

// logCost returns -log2(hash / 2^64) in units of 1/logUnit, at least 1. It works
// in integers, so that every architecture places a key alike, and never grows
// with hash.
func logCost(hash uint64) uint64 {
	hash |= 1
	zeros := bits.LeadingZeros64(hash)
	mantissa := hash << (zeros + 1)
	i := mantissa >> (64 - logTableBits)
	rest := mantissa << logTableBits >> 32
	log := logTable[i] + (logTable[i+1]-logTable[i])*rest>>32
	return uint64(zeros+1)*logUnit - log + 1
}
