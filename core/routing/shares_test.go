package routing

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The count of listeners in use is that of a pass of all at each flow, also after routes
// were removed.
func TestListenersInUse(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	shares, now := newShareTable(), time.Duration(0)
	ws := WeightedService{Service: testService, Weight: 1, Contention: Contention{ReservedShare: 100}}
	sizes := make(map[uint64]bool)
	for range 5000 {
		now += time.Duration(random.Uint64N(uint64(200 * time.Millisecond)))
		tuple := tuple(1)
		tuple.Service = netip.AddrPortFrom(address.Addr(), 1+uint16(random.ExpFloat64()*4))
		shares.ask(now, ws, tuple, false)
		use, inUse := shares.byService[testService], uint64(0)
		for _, l := range use.byListener {
			if l.asked.value(now) > 0 {
				inUse++
			}
		}
		is.Equal(use.inUse, inUse)
		sizes[inUse] = true
		if random.IntN(50) == 0 {
			kept := netip.AddrPortFrom(address.Addr(), 1)
			shares.prune(NewTable().WithRoutes(Routes{kept: {Services: []WeightedService{ws}}}))
		}
	}
	is.True(len(sizes) > 5)
}
