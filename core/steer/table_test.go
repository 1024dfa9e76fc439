package steer

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

func TestFirstTakingIsTheBeginningOfTheOrder(t *testing.T) {
	is := is.New(t)
	members := servers(1, 40)
	for i := range members {
		if i%3 == 0 {
			members[i].State = view.Draining
		}
	}
	table := newBalancer(members...).Table()
	for key := range uint64(200) {
		var want []*member
		for _, m := range table.order(key, desk) {
			if m.takes && len(want) < choices {
				want = append(want, m)
			}
		}
		is.Equal(table.firstTaking(key, desk), want)
	}
	is.Equal(len(table.firstTaking(1, hall)), 0) // a service without members
}
