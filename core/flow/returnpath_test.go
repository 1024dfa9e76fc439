package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRepliesAvoidPossiblyDeadBalancer(t *testing.T) {
	first := netip.MustParseAddrPort("127.0.0.1:1")
	second := netip.MustParseAddrPort("127.0.0.2:1")
	start := time.Unix(100, 0)
	cases := []struct {
		name     string
		idle     time.Duration // since the caller's last packet
		seen     []netip.AddrPort
		reported []netip.AddrPort
		want     []netip.AddrPort // for two consecutive replies, sorted
	}{
		{"caller active", callerIdleLimit / 2, []netip.AddrPort{first, second}, nil, []netip.AddrPort{first, first}},
		{"caller idle", callerIdleLimit, []netip.AddrPort{first, second}, nil, []netip.AddrPort{first, second}},
		{"other balancer reported by control only", callerIdleLimit, []netip.AddrPort{first}, []netip.AddrPort{second}, []netip.AddrPort{first, second}},
		{"balancer expired, control reports the live one", 2 * livenessTimeout, []netip.AddrPort{first}, []netip.AddrPort{second}, []netip.AddrPort{second, second}},
		{"no other balancer known", 2 * livenessTimeout, []netip.AddrPort{first}, nil, []netip.AddrPort{first, first}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReturnPaths()
			for _, b := range c.seen {
				r.MarkSeen(b, start)
			}
			r.SetBalancers(c.reported)
			now := start.Add(c.idle)
			r.Expire(now)
			got := []netip.AddrPort{r.Choose(first, start, now), r.Choose(first, start, now)}
			if got[0].Compare(got[1]) > 0 {
				got[0], got[1] = got[1], got[0]
			}
			is.Equal(got, c.want)
		})
	}
}
