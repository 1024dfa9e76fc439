package subscribe

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestDaemonsBeginWithDifferentControlProcesses(t *testing.T) {
	is := is.New(t)
	var control []netip.AddrPort
	for i := range 3 {
		control = append(control, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	firsts := make(map[netip.AddrPort]int)
	for n := range 300 {
		name := fmt.Sprint("host-", n)
		firsts[Order(name, control, 0)[0]]++
		turns := make(map[netip.AddrPort]bool)
		for turn := range len(control) {
			order := Order(name, control, turn)
			is.Equal(len(order), len(control))
			turns[order[0]] = true
		}
		is.Equal(len(turns), len(control)) // each one has its turn
	}
	for _, addr := range control {
		is.True(firsts[addr] > 60)
	}
}

func TestOrderOfNoControlProcessesIsEmpty(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Order("host", nil, 3)), 0)
}
