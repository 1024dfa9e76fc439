package settings

import (
	"math"

	"fulmarmount.org/fulmarmount/internal/inifile"
)

// Warmup turns what a cold backend server bears into the number of new flows that it takes
// in a second. The numbers are nil where nothing limits them.
type Warmup struct {
	Factor, Extra *float64
	// ZeroIsUnlimited is set if a backend server said to bear 0 requests a second has no
	// limit. Otherwise it takes Extra alone.
	ZeroIsUnlimited bool
}

// maxWarmupNumber is the greatest factor, and the most new flows, that can be set.
const maxWarmupNumber = 10_000

// LeastLimit returns the number of new flows that a cold backend server of any limited
// service takes in a second, at least 1; 0 if nothing limits them.
func (w Warmup) LeastLimit() uint32 {
	if w.Factor == nil || w.Extra == nil {
		return 0
	}
	return uint32(max(math.Floor(*w.Extra), 1))
}

func (p *parser) warmup(out *Process, r *inifile.Reader) {
	out.Warmup = Warmup{
		Factor: r.Number("warmup_factor", 0, maxWarmupNumber), Extra: r.Number("warmup_extra", 0, maxWarmupNumber),
		ZeroIsUnlimited: r.Enum("warmup_zero", "limited", "limited", "unlimited") == "unlimited",
	}
}
