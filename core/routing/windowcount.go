package routing

import (
	"net/netip"
	"time"

	"fulmarmount.org/core/placement"
)

const (
	// shareWindow is the length of the sliding window over which the use of shares is
	// counted.
	shareWindow = time.Second
	// windowPeriods is the number of parts of shareWindow that are counted each.
	windowPeriods = 4
)

// windowCount is a sliding-window counter of the events of the last shareWindow.
type windowCount struct {
	periods [windowPeriods]uint32
	last    int64 // the number of the latest period
}

// windowPeriod returns the number of the period that a time is in.
func windowPeriod(now time.Duration) int64 { return int64(now / (shareWindow / windowPeriods)) }

func (c *windowCount) advance(now time.Duration) {
	period := windowPeriod(now)
	for n := range min(max(period-c.last, 0), windowPeriods) {
		c.periods[(period-n)%windowPeriods] = 0
	}
	c.last = max(c.last, period)
}

func (c *windowCount) add(now time.Duration) {
	c.advance(now)
	c.periods[c.last%windowPeriods]++
}

func (c *windowCount) value(now time.Duration) uint32 {
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

// callerCounts counts events by caller in a count-min sketch: a caller's count is the least
// of its cells, and so never too low.
type callerCounts [callerRows][callerCells]windowCount

func (c *callerCounts) cell(row int, caller netip.Addr) *windowCount {
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
