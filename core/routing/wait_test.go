package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// However long a balancer has run, a member without a report has room.
func TestRoomWithoutAReportAfterLong(t *testing.T) {
	is := is.New(t)
	s := server(1)
	s.Slots = 1000
	b := newBalancer(s)
	now := 110 * 24 * time.Hour
	m := b.Table().findMember(testService, view.SeedOf(s.ID))
	is.Equal(b.loads.rooms(now, []*member{m})[0].load, 0)
}
