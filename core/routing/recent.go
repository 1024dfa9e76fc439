package routing

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/placement"
)

const (
	// recentTime is the time over which the use of shares is measured.
	recentTime = time.Second
	// recentPeriods is the number of parts of recentTime that are counted each.
	recentPeriods = 4
)

// recentCount counts the events of the last recentTime.
type recentCount struct {
	periods [recentPeriods]uint32
	last    int64 // the number of the latest period
}

// recentPeriod returns the number of the period that a time is in.
func recentPeriod(now time.Duration) int64 { return int64(now / (recentTime / recentPeriods)) }

func (c *recentCount) advance(now time.Duration) {
	period := recentPeriod(now)
	for n := range min(max(period-c.last, 0), recentPeriods) {
		c.periods[(period-n)%recentPeriods] = 0
	}
	c.last = max(c.last, period)
}

func (c *recentCount) add(now time.Duration) {
	c.advance(now)
	c.periods[c.last%recentPeriods]++
}

func (c *recentCount) value(now time.Duration) uint32 {
	c.advance(now)
	sum := uint32(0)
	for _, n := range c.periods {
		sum += n
	}
	return sum
}

const (
	callerRows  = 2
	callerCells = 64
)

// callerCounts counts events by caller in a sketch of fixed size: a caller's count is
// the least of its cells, and so never too low.
type callerCounts [callerRows][callerCells]recentCount

func (c *callerCounts) cell(row int, caller netip.Addr) *recentCount {
	b := caller.As16()
	hash := uint64(row)
	for i := range b {
		hash = hash<<8 ^ hash>>56 ^ uint64(b[i])
	}
	return &c[row][placement.Mix(hash, uint64(row))%callerCells]
}

func (c *callerCounts) add(now time.Duration, caller netip.Addr) {
	for row := range c {
		c.cell(row, caller).add(now)
	}
}

func (c *callerCounts) value(now time.Duration, caller netip.Addr) uint32 {
	least := c.cell(0, caller).value(now)
	for row := 1; row < callerRows; row++ {
		least = min(least, c.cell(row, caller).value(now))
	}
	return least
}
