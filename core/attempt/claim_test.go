package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

// cluster is a set of replicas whose messages are delivered immediately, unless
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
		c.startAgent(fmt.Sprint("s", i), 1)
	}
	c.view = testView(1, n, nil)
	for _, claims := range c.claims {
		claims.SetView(t0, c.view)
	}
	c.now = t0.Add(time.Minute)
	return c
}

func (c *cluster) startAgent(name string, inc view.Incarnation) {
	c.claims[name] = NewClaims(c.now, ClaimsConfig{
		Self: Target{name, inc}, KeyLifetime: time.Hour, MaxClockSkew: time.Second, ReplyTimeout: time.Second,
		ViewLag: 10 * time.Second, MaxEntries: 8,
	})
}

func testView(number uint64, n int, removed map[string]bool) *view.View {
	var members []view.BackendServer
	for i := range n {
		id := fmt.Sprint("s", i)
		if !removed[id] {
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

func (c *cluster) claim(primary string, in ClaimRequest) ClaimReply {
	if in.KeyTime == 0 {
		in.KeyTime = UnixMillisOf(c.now)
	}
	claims := c.claims[primary]
	c.perform(claims, claims.Claim(c.now, 1, in))
	return c.replies[len(c.replies)-1]
}

func (c *cluster) replicas(key string) (string, string) {
	p, _ := newReplicaSelector(c.view).replicas(key)
	return p.primary.Server, p.backup.Server
}

func owner(n uint64) Assignment { return Assignment{testID(n), ta} }

func TestClaimStatus(t *testing.T) {
	body, other := Digest{1}, Digest{2}
	tests := []struct {
		name string
		do   func(c *cluster, primary, backup string) ClaimReply
		want ClaimStatus
	}{
		{"granted", func(c *cluster, primary, _ string) ClaimReply {
			return c.claim(primary, ClaimRequest{Key: "k", Owner: owner(2)})
		}, ClaimGranted},
		{"another attempt owns the key", func(c *cluster, primary, _ string) ClaimReply {
			c.claim(primary, ClaimRequest{Key: "k", Owner: owner(1)})
			return c.claim(primary, ClaimRequest{Key: "k", Owner: owner(2)})
		}, ClaimExists},
		{"replaces a fenced attempt", func(c *cluster, primary, _ string) ClaimReply {
			c.claim(primary, ClaimRequest{Key: "k", Owner: owner(1)})
			return c.claim(primary, ClaimRequest{Key: "k", Owner: owner(2), Replaces: testID(1)})
		}, ClaimGranted},
		{"other digest", func(c *cluster, primary, _ string) ClaimReply {
			c.claim(primary, ClaimRequest{Key: "k", Owner: owner(1), Digest: body})
			return c.claim(primary, ClaimRequest{Key: "k", Owner: owner(2), Digest: other})
		}, ClaimMismatch},
		{"not the primary", func(c *cluster, _, backup string) ClaimReply {
			return c.claim(backup, ClaimRequest{Key: "k", Owner: owner(2)})
		}, ClaimUnavailable},
		{"backup down", func(c *cluster, primary, backup string) ClaimReply {
			c.down[backup] = true
			return c.claim(primary, ClaimRequest{Key: "k", Owner: owner(2)})
		}, ClaimUnavailable},
		{"received before the fence", func(c *cluster, primary, _ string) ClaimReply {
			c.claim(primary, ClaimRequest{Key: "k", Fence: true})
			c.now = c.now.Add(time.Second)
			return c.claim(primary, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(-2 * time.Second)), Owner: owner(2)})
		}, ClaimFenced},
		{"received after the fence", func(c *cluster, primary, _ string) ClaimReply {
			keyTime := UnixMillisOf(c.now)
			c.claim(primary, ClaimRequest{Key: "k", Fence: true})
			c.now = c.now.Add(GrantTimeout + time.Millisecond)
			return c.claim(primary, ClaimRequest{Key: "k", KeyTime: keyTime, Owner: owner(2)})
		}, ClaimGranted},
		{"older than the key lifetime", func(c *cluster, primary, _ string) ClaimReply {
			return c.claim(primary, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(-2 * time.Hour))})
		}, ClaimTooOld},
		{"from the future", func(c *cluster, primary, _ string) ClaimReply {
			return c.claim(primary, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now.Add(time.Minute))})
		}, ClaimInvalid},
		{"created before the start of the primary", func(c *cluster, primary, _ string) ClaimReply {
			return c.claim(primary, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(t0)})
		}, ClaimTooOld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(4)
			primary, backup := c.replicas("k")
			is.New(t).Equal(tt.do(c, primary, backup).Status, tt.want)
		})
	}
}

// TestClaimSurvivesLossOfOneReplica moves the key to another primary after one
// or both replicas are lost. If both are lost, no agent can rule out a claim.
func TestClaimSurvivesLossOfOneReplica(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		primaryLost, backupLost bool
		want                    ClaimStatus
	}{
		{"primary lost", true, false, ClaimExists},
		{"backup lost", false, true, ClaimExists},
		{"both lost", true, true, ClaimUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(4)
			keyTime := UnixMillisOf(c.now)
			primary, backup := c.replicas("k")
			is.Equal(c.claim(primary, ClaimRequest{Key: "k", Owner: owner(1)}).Status, ClaimGranted)
			c.down[primary], c.down[backup] = tt.primaryLost, tt.backupLost
			c.view = testView(2, 4, c.down)
			for name, claims := range c.claims {
				if !c.down[name] {
					c.perform(claims, claims.SetView(c.now, c.view))
				}
			}
			newPrimary, _ := c.replicas("k")
			reply := c.claim(newPrimary, ClaimRequest{Key: "k", KeyTime: keyTime, Owner: owner(2)})
			is.Equal(reply.Status, tt.want)
			if tt.want == ClaimExists {
				is.Equal(reply.Owner, owner(1))
			}
		})
	}
}

// TestLookupBlocksChangesUnderOlderViews checks that a replica that reported no
// entry to a primary under a newer view accepts no changes under older views.
// Otherwise both primaries could grant the key.
func TestLookupBlocksChangesUnderOlderViews(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	primary, backup := c.replicas("k")
	in := ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now), Owner: owner(1)}
	older, newer := c.view.Version, view.Version{Epoch: 1, Number: 3}
	lookUp := func(at string) {
		r := c.claims[at].Lookup(c.now, LookupRequest{Version: newer, To: Target{at, 1}, Key: "k", KeyTime: UnixMillisOf(c.now)})
		is.True(r.Accepted && !r.Found)
	}
	lookUp(backup)
	store := StoreRequest{Version: older, To: Target{backup, 1}, Entry: Entry{Key: "k", KeyTime: UnixMillisOf(c.now), Revision: 1}}
	is.Equal(c.claims[backup].Store(c.now, store), StoreReply{})
	is.Equal(c.claim(primary, in).Status, ClaimUnavailable)

	// A lookup under a newer view arrives while the older primary waits for its own.
	c = newCluster(4)
	c.view = testView(2, 4, map[string]bool{primary: true, backup: true})
	primary, backup = c.replicas("k")
	claims := c.claims[primary]
	claims.SetView(c.now, c.view)
	for _, act := range claims.Claim(c.now, 1, in) {
		if l, ok := act.(SendLookup); ok {
			lookUp(primary)
			c.perform(claims, claims.HandleLookupReply(c.now, l.Seq, LookupReply{Accepted: true}))
			is.Equal(c.replies, []ClaimReply{{}})
			return
		}
	}
	t.Fatalf("primary %s queried no earlier replica pair; the backup is %s", primary, backup)
}

func TestNewerViewOverridesUngrantedChange(t *testing.T) {
	is := is.New(t)
	ungranted := Entry{Version: view.Version{Epoch: 1, Number: 1}, Revision: 9, Owner: owner(1)}
	granted := Entry{Version: view.Version{Epoch: 1, Number: 2}, Revision: 2, Owner: owner(2)}
	for _, order := range [][]Entry{{ungranted, granted}, {granted, ungranted}} {
		o := &operation{}
		for _, e := range order {
			o.merge(LookupReply{Accepted: true, Found: true, Entry: e})
		}
		is.Equal(o.newest.Owner, owner(2))
	}
}

func TestRestartedPrimaryAdoptsHistory(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	keyTime := UnixMillisOf(c.now)
	primary, backup := c.replicas("k")
	c.claim(primary, ClaimRequest{Key: "k", Owner: owner(1)})
	c.startAgent(primary, 2)
	c.view = testView(2, 4, nil)
	c.view.Members[c.view.IndexOf(primary)].Incarnation = 2
	for _, claims := range c.claims {
		claims.SetView(c.now, c.view)
	}
	is.Equal(c.claim(primary, ClaimRequest{Key: "k", KeyTime: keyTime, Owner: owner(2)}).Status, ClaimUnavailable)
	c.claims[primary].AdoptHistory(c.now, c.claims[backup].History(c.now))
	is.Equal(c.claim(primary, ClaimRequest{Key: "k", KeyTime: keyTime, Owner: owner(2)}).Status, ClaimExists)
}

func TestClaimsBoundsEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	status := func(i int, fence bool) ClaimStatus {
		return c.claim("s0", ClaimRequest{Key: fmt.Sprint(i), Owner: owner(uint64(i)), Fence: fence}).Status
	}
	for i := range 4 {
		is.Equal(status(i, true), ClaimFenced)
	}
	is.Equal(status(4, true), ClaimUnavailable) // fences leave room for claims
	for i := range 4 {
		is.Equal(status(10+i, false), ClaimGranted)
	}
	is.Equal(status(20, false), ClaimUnavailable)
	is.Equal(c.claims["s0"].Len(), 8)
	c.now = c.now.Add(2 * time.Hour)
	is.Equal(status(21, false), ClaimGranted)
	is.Equal(c.claims["s0"].Len(), 1)
}

func TestUnconfirmedViewRejectsClaims(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.claims["s0"].cfg.ConfirmWithin = time.Second
	is.Equal(c.claim("s0", ClaimRequest{Key: "k", Owner: owner(1)}).Status, ClaimUnavailable)
	c.claims["s0"].ConfirmView(c.now)
	is.Equal(c.claim("s0", ClaimRequest{Key: "k", Owner: owner(1)}).Status, ClaimGranted)
}

func TestMissingBackupReplyEndsOperation(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	primary, _ := c.replicas("k")
	claims := c.claims[primary]
	claims.Claim(c.now, 1, ClaimRequest{Key: "k", KeyTime: UnixMillisOf(c.now), Owner: owner(1)}) // the backup never replies
	is.Equal(len(claims.Tick(c.now)), 0)
	is.Equal(claims.Tick(c.now.Add(time.Second)), []ClaimAction{ReplyClaim{RequestID: 1}})
}

// A key may be used long after it was created. Such keys expire without waiting for
// younger ones that were stored before them.
func TestOldKeysExpireBeforeYoungerOnes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	claims := c.claims["s0"]
	store := func(key string, age time.Duration) {
		in := StoreRequest{Version: c.view.Version, To: claims.cfg.Self, Entry: Entry{Key: key, KeyTime: UnixMillisOf(c.now.Add(-age)), Revision: 1}}
		is.True(claims.Store(c.now, in).Stored)
	}
	store("young", 0)
	for i := range 7 {
		store(fmt.Sprint("old-", i), 50*time.Minute)
	}
	c.now = c.now.Add(20 * time.Minute)
	for i := range 7 {
		store(fmt.Sprint("new-", i), 0)
	}
	is.Equal(claims.Len(), 8)
}
