package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

const (
	playSeeds   = 3
	playOrderAt = 2 * time.Second
	playEndAt   = 6 * time.Second
	playFor     = 10 * time.Second
	playStretch = 2 * time.Second // after an order and after its end
)

// eachPlay runs a play for each seed, and checks that no cold backend server took more
// than its limit.
func eachPlay(t *testing.T, run func(is *is.I, p *play)) {
	t.Helper()
	for seed := range uint64(playSeeds) {
		p := newPlay(t, seed)
		run(is.New(t), p)
		p.checkColdLimit()
	}
}

// log logs and returns what the callers of a stretch of time got.
func (p *play) log(what string, from, to time.Duration) playResult {
	r := p.result(from, to)
	p.t.Logf("%s: %s", what, r)
	return r
}

// restart starts backend servers anew, all of them cold.
func (p *play) restart(cold time.Duration, affected func(n int, s *view.BackendServer) bool) {
	for n, s := range p.servers {
		if affected(n, &s.listed) {
			p.startServer(s, cold)
		}
	}
}

// The other zones have 3/4 of the capacity, callers want 8/10 of all.
func TestPlayZoneEvacuatedAndTakenBack(t *testing.T) {
	eachPlay(t, func(is *is.I, p *play) {
		p.addCallers(playCapacity*8/10, 0, playFor)
		p.at(playOrderAt, func() { p.order("b", true) })
		p.at(playEndAt, func() { p.order("b", false) })
		p.run(playFor + playTimeout)
		before := p.log("before", time.Second, playOrderAt)
		evacuated := p.log("after the order", playOrderAt, playOrderAt+playStretch)
		back := p.log("after its end", playEndAt, playEndAt+playStretch)
		p.t.Logf("%d SYNs refused for the zone", p.zoneRefusals)
		is.True(before.share() >= 0.99)
		is.True(evacuated.share() >= 0.88)
		is.True(back.share() >= 0.94)
		is.Equal(back.unanswered, 0)
		is.True(p.zoneRefusals*20 < evacuated.callers) // views make it cheap
	})
}

func TestPlayZoneComesBackCold(t *testing.T) {
	eachPlay(t, func(is *is.I, p *play) {
		p.addCallers(playCapacity*7/10, 0, playFor)
		p.at(playOrderAt, func() { p.order("b", true) })
		p.at(playEndAt, func() {
			p.restart(playColdFor, func(_ int, s *view.BackendServer) bool { return s.Zone == "b" })
			p.order("b", false)
		})
		p.run(playFor + playTimeout)
		evacuated := p.log("after the order", playOrderAt, playOrderAt+playStretch)
		back := p.log("after its end", playEndAt, playEndAt+playStretch)
		is.True(evacuated.share() >= 0.98)
		is.True(back.share() >= 0.93)
		is.Equal(back.unanswered, 0)
	})
}

func TestPlayReleaseOfHalfOfAService(t *testing.T) {
	eachPlay(t, func(is *is.I, p *play) {
		p.addCallers(playCapacity*5/10, 0, playFor)
		p.at(playOrderAt, func() {
			p.restart(playColdFor, func(n int, _ *view.BackendServer) bool { return n%2 == 0 })
			p.publish()
		})
		p.run(playFor + playTimeout)
		first := p.log("after the release", playOrderAt, playOrderAt+playStretch)
		second := p.log("later", playOrderAt+playStretch, playOrderAt+playColdFor)
		is.True(first.share() >= 0.89)
		is.True(second.share() >= 0.89)
		is.True(first.unanswered+second.unanswered <= 5)
	})
}

// More callers come at once than all cold backend servers bear, for as long as they are
// cold.
func TestPlayLossOfPower(t *testing.T) {
	eachPlay(t, func(is *is.I, p *play) {
		p.restart(playColdFor, func(int, *view.BackendServer) bool { return true })
		p.install(p.nextView())
		p.addCallers(playCapacity*5/10, 0, playFor)
		p.addCallers(playCapacity, 0, time.Second/2) // those that have waited
		p.run(playFor + playTimeout)
		p.log("at first", 0, playStretch)
		cold := p.log("until warm", playStretch, playColdFor)
		warm := p.log("then", playColdFor+time.Second, playFor)
		is.True(cold.unanswered*4 < cold.callers)
		is.Equal(cold.refused, 0)
		is.True(warm.share() >= 0.99)
	})
}

// The cold backend servers bear as much as their limit allows.
func TestPlayColdMembersOnly(t *testing.T) {
	eachPlay(t, func(is *is.I, p *play) {
		p.coldTime = time.Second * playSlots / playColdLimit
		p.restart(time.Hour, func(int, *view.BackendServer) bool { return true })
		p.install(p.nextView())
		allowed, half := len(p.servers)*playColdLimit, playFor/2
		p.addCallers(allowed/2, 0, half)
		p.addCallers(allowed*3/2, half, playFor)
		p.run(playFor + playTimeout)
		below := p.log("at half the limit", 0, half)
		above := p.log("at 1.5 times the limit", half, playFor)
		p.t.Logf("%d SYNs refused for the limit", p.coldRefusals)
		is.True(below.share() >= 0.99)
		is.True(above.unanswered*3 <= above.callers) // as many are answered as the limit allows
		is.Equal(above.refused, 0)                   // the others wait for their retransmission
	})
}
