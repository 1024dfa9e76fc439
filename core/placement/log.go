package placement

import (
	"math"
	"math/bits"
)

const (
	logTableBits = 10
	logUnit      = 1 << 32 // 1.0 in the fixed-point format of negLog2
)

// logTable holds log2(1+i/1024) in units of 1/logUnit.
var logTable = func() (table [1<<logTableBits + 1]uint64) {
	for i := range table {
		table[i] = uint64(math.Round(math.Log2(1+float64(i)/(1<<logTableBits)) * logUnit))
	}
	return table
}()

// negLog2 returns -log2(hash / 2^64) in units of 1/logUnit, at least 1. It does not
// increase with hash. It uses integer arithmetic only, so that every architecture
// computes the same placement.
func negLog2(hash uint64) uint64 {
	hash |= 1
	zeros := bits.LeadingZeros64(hash)
	mantissa := hash << (zeros + 1)
	i := mantissa >> (64 - logTableBits)
	fraction := mantissa << logTableBits >> 32
	log := logTable[i] + (logTable[i+1]-logTable[i])*fraction>>32
	return uint64(zeros+1)*logUnit - log + 1
}
