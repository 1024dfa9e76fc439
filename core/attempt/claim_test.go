package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// cluster is a set of holders whose messages are delivered at once, unless
// their target is down.
type cluster struct {
	claims  map[string]*Claims
	view    *view.View
	now     time.Time
	down    map[string]bool
	replies []ClaimReply
}

func newCluster(n int) *cluster {
	c := &cluster{claims: make(map[string]*Claims), now: t0, down: make(map[string]bool)}
	for i := range n {
		c.boot(fmt.Sprint("s", i), 1)
	}
	c.view = testView(1, n, nil)
	for _, h := range c.claims {
		h.SetView(t0, c.view)
	}
	c.now = t0.Add(time.Minute)
	return c
}

func (c *cluster) boot(name string, inc view.Incarnation) {
	c.claims[name] = NewClaims(c.now, ClaimsConfig{
		Self: Target{name, inc}, KeyLifetime: time.Hour, MaxClockSkew: time.Second, ReplyTimeout: time.Second,
		ViewLag: 10 * time.Second, MaxEntries: 8,
	})
}

func testView(number uint64, n int, gone map[string]bool) *view.View {
	var members []view.BackendServer
	for i := range n {
		id := fmt.Sprint("s", i)
		if !gone[id] {
			members = append(members, view.BackendServer{
				ID: id, Zone: fmt.Sprint("z", i%2), Incarnation: 1, State: view.Ready, Weight: view.FullWeight,
			})
		}
	}
	return view.New(1, view.Version{Epoch: 1, Number: number}, members)
}

func (c *cluster) perform(from *Claims, acts []ClaimAction) {
	for _, act := range acts {
		switch act := act.(type) {
		case ReplyClaim:
			c.replies = append(c.replies, act.Reply)
		case SendStore:
			var r StoreReply
			if to := act.Request.To.Server; !c.down[to] {
				r = c.claims[to].Store(c.now, act.Request)
			}
			c.perform(from, from.HandleStoreReply(c.now, act.Seq, r))
		case SendLookup:
			var r LookupReply
			if to := act.Request.To.Server; !c.down[to] {
				r = c.claims[to].Lookup(c.now, act.Request)
			}
			c.perform(from, from.HandleLookupReply(c.now, act.Seq, r))
		}
	}
}

func (c *cluster) claim(home string, in ClaimRequest) ClaimReply {
	if in.KeyTime == 0 {
		in.KeyTime = UnixMillisOf(c.now)
	}
	h := c.claims[home]
	c.perform(h, h.Claim(c.now, 1, in))
	return c.replies[len(c.replies)-1]
}

func (c *cluster) pair(key string) (string, string) {
	p, _ := newHolders(c.view).pair(key)
	return p.home.Server, p.second.Server
}

func holder(n uint64) Assignment { return Assignment{testID(n), ta} }

func TestClaimReplies(t *testing.T) {
	body, other := Digest{1}, Digest{2}
	tests := []struct {
		name string
		do   func(c *cluster, home, second string) ClaimReply
		want ClaimStatus
	}{
		{"granted", func(c *cluster, home, _ string) ClaimReply {
			return c.claim(home, ClaimRequest{Key: "k", Owner: holder(2)})
		}, ClaimGranted},
		{"another attempt holds it", func(c *cluster, home, _ string) ClaimReply {
			c.claim(home, ClaimRequest{Key: "k", Owner: holder(1)})
			return c.claim(home, ClaimRequest{Key: "k", Owner: holder(2)})
		}, ClaimExists},
		{"replaces a fenced attempt", func(c *cluster, home, _ string) ClaimReply {
			c.claim(home, ClaimRequest{Key: "k", Owner: holder(1)})
			return c.claim(home, ClaimRequest{Key: "k", Owner: holder(2), Replaces: testID(1)})
		}, ClaimGranted},
		{"other body", func(c *cluster, home, _ string) ClaimReply {
			c.claim(home, ClaimRequest{Key: "k", Owner: holder(1), Digest: body})
			return c.claim(home, ClaimRequest{Key: "k", Owner: holder(2), Digest: other})
		}, ClaimMismatch},
		{"not the home", func(c *cluster, _, second string) ClaimReply {
			return c.claim(second, ClaimRequest{Key: "k", Owner: holder(2)})
		}, ClaimUnavailable},
		{"second holder down", func(c *cluster, home, second string) ClaimReply {
			c.down[second] = true
			return c.claim(home, ClaimRequest{Key: "k", Owner: holder(2)})
		}, ClaimUnavailable},
		{"received before not run was said", func(c *cluster, home, _ string) ClaimReply {
			c.claim(home, ClaimRequest{Key: "k", Fence: true})
			c.now = c.now.Add(time.Second)
			return c.claim(home, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(-2 * time.Second)), Owner: holder(2)})
		}, ClaimFenced},
		{"received after not run was said", func(c *cluster, home, _ string) ClaimReply {
			made := UnixMillisOf(c.now)
			c.claim(home, ClaimRequest{Key: "k", Fence: true})
			c.now = c.now.Add(GrantTimeout + time.Millisecond)
			return c.claim(home, ClaimRequest{Key: "k", KeyTime: made, Owner: holder(2)})
		}, ClaimGranted},
		{"too old", func(c *cluster, home, _ string) ClaimReply {
			return c.claim(home, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(-2 * time.Hour))})
		}, ClaimTooOld},
		{"from the future", func(c *cluster, home, _ string) ClaimReply {
			return c.claim(home, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(time.Minute))})
		}, ClaimInvalid},
		{"made before the home started", func(c *cluster, home, _ string) ClaimReply {
			return c.claim(home, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(t0)})
		}, ClaimTooOld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(4)
			home, second := c.pair("k")
			is.New(t).Equal(tt.do(c, home, second).Status, tt.want)
		})
	}
}

// TestClaimSurvivesLossOfEachHolder moves the key to another home after one or
// both holders are lost.
func TestClaimSurvivesLossOfEachHolder(t *testing.T) {
	for _, tt := range []struct {
		name         string
		home, second bool
		want         ClaimStatus
	}{
		{"home lost", true, false, ClaimExists},
		{"second lost", false, true, ClaimExists},
		{"both lost", true, true, ClaimUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(4)
			made := UnixMillisOf(c.now)
			home, second := c.pair("k")
			is.Equal(c.claim(home, ClaimRequest{Key: "k", Owner: holder(1)}).Status, ClaimGranted)
			c.down[home], c.down[second] = tt.home, tt.second
			c.view = testView(2, 4, c.down)
			for name, h := range c.claims {
				if !c.down[name] {
					c.perform(h, h.SetView(c.now, c.view))
				}
			}
			now, _ := c.pair("k")
			reply := c.claim(now, ClaimRequest{Key: "k", KeyTime: made, Owner: holder(2)})
			is.Equal(reply.Status, tt.want)
			if tt.want == ClaimExists {
				is.Equal(reply.Owner, holder(1))
			}
		})
	}
}

// TestNothingUnderOlderViewAfterLookup checks the floor: once a holder told a
// newer home that it has nothing, it lets nothing happen under older views.
func TestNothingUnderOlderViewAfterLookup(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	home, second := c.pair("k")
	in := ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now), Owner: holder(1)}
	older, newer := c.view.Version, view.Version{Epoch: 1, Number: 3}
	look := func(at string) {
		r := c.claims[at].Lookup(c.now, LookupRequest{Version: newer, To: Target{at, 1}, Key: "k", KeyTime: UnixMillisOf(c.now)})
		is.True(r.Accepted && !r.Found)
	}
	look(second)
	hold := StoreRequest{Version: older, To: Target{second, 1}, Entry: Entry{Key: "k", KeyTime: UnixMillisOf(c.now), Revision: 1}}
	is.Equal(c.claims[second].Store(c.now, hold), StoreReply{})
	is.Equal(c.claim(home, in).Status, ClaimUnavailable)

	// The newer home asks while the older one is still looking up.
	c = newCluster(4)
	c.view = testView(2, 4, map[string]bool{home: true, second: true})
	home, second = c.pair("k")
	h := c.claims[home]
	h.SetView(c.now, c.view)
	for _, act := range h.Claim(c.now, 1, in) {
		if l, ok := act.(SendLookup); ok {
			look(home)
			c.perform(h, h.HandleLookupReply(c.now, l.Seq, LookupReply{Accepted: true}))
			is.Equal(c.replies, []ClaimReply{{}})
			return
		}
	}
	t.Fatalf("%s asked no earlier pair, second is %s", home, second)
}

func TestLaterViewBeatsChangeThatWasNeverGranted(t *testing.T) {
	is := is.New(t)
	lost := Entry{Version: view.Version{Epoch: 1, Number: 1}, Revision: 9, Owner: holder(1)}
	granted := Entry{Version: view.Version{Epoch: 1, Number: 2}, Revision: 2, Owner: holder(2)}
	for _, order := range [][]Entry{{lost, granted}, {granted, lost}} {
		o := &op{}
		for _, e := range order {
			o.merge(LookupReply{Accepted: true, Found: true, Entry: e})
		}
		is.Equal(o.best.Owner, holder(2))
	}
}

func TestRestartedHomeLearnsHistory(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	made := UnixMillisOf(c.now)
	home, second := c.pair("k")
	c.claim(home, ClaimRequest{Key: "k", Owner: holder(1)})
	c.boot(home, 2)
	c.view = testView(2, 4, nil)
	c.view.Members[c.view.IndexOf(home)].Incarnation = 2
	for _, h := range c.claims {
		h.SetView(c.now, c.view)
	}
	is.Equal(c.claim(home, ClaimRequest{Key: "k", KeyTime: made, Owner: holder(2)}).Status, ClaimUnavailable)
	c.claims[home].AdoptHistory(c.now, c.claims[second].History(c.now))
	is.Equal(c.claim(home, ClaimRequest{Key: "k", KeyTime: made, Owner: holder(2)}).Status, ClaimExists)
}

func TestClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	status := func(i int, refuse bool) ClaimStatus {
		return c.claim("s0", ClaimRequest{Key: fmt.Sprint(i), Owner: holder(uint64(i)), Fence: refuse}).Status
	}
	for i := range 4 {
		is.Equal(status(i, true), ClaimFenced)
	}
	is.Equal(status(4, true), ClaimUnavailable) // refusals leave room for claims
	for i := range 4 {
		is.Equal(status(10+i, false), ClaimGranted)
	}
	is.Equal(status(20, false), ClaimUnavailable)
	is.Equal(c.claims["s0"].Len(), 8)
	c.now = c.now.Add(2 * time.Hour)
	is.Equal(status(21, false), ClaimGranted)
	is.Equal(c.claims["s0"].Len(), 1)
}

func TestStaleHolderRefuses(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.claims["s0"].cfg.ConfirmWithin = time.Second
	is.Equal(c.claim("s0", ClaimRequest{Key: "k", Owner: holder(1)}).Status, ClaimUnavailable)
	c.claims["s0"].ConfirmView(c.now)
	is.Equal(c.claim("s0", ClaimRequest{Key: "k", Owner: holder(1)}).Status, ClaimGranted)
}

func TestSilentSecondEndsOperation(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	home, _ := c.pair("k")
	h := c.claims[home]
	h.Claim(c.now, 1, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now), Owner: holder(1)}) // hold never answered
	is.Equal(len(h.Tick(c.now)), 0)
	is.Equal(h.Tick(c.now.Add(time.Second)), []ClaimAction{ReplyClaim{RequestID: 1}})
}
