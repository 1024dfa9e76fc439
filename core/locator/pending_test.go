package locator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/locator"
	"fulmarmount.org/core/view"
)

// ownedFlows are flows that an agent owns.
type ownedFlows []flow.ID

func (o ownedFlows) ForEachOwned(visit func(flow.ID) bool) {
	for _, id := range o {
		if !visit(id) {
			return
		}
	}
}

func (o ownedFlows) Owns(flow.ID) bool { return true }

// A holder that never acknowledges, however often all pointers are refreshed, has each
// pointer pending once. Its next incarnation gets them without a delay.
func TestUnresponsiveHolderHasEachPointerPendingOnce(t *testing.T) {
	is := is.New(t)
	var owned ownedFlows
	for n := range 300 {
		owned = append(owned, tupleOf(n).ID())
	}
	viewOf := func(number uint64, incarnation view.Incarnation) *view.View {
		members := []view.BackendServer{
			{ID: "a", Zone: "a", Incarnation: 1, State: view.Ready, Weight: view.FullWeight},
			{ID: "b", Zone: "b", Incarnation: incarnation, State: view.Ready, Weight: view.FullWeight},
		}
		return view.New(1, view.Version{Epoch: 1, Number: number}, members)
	}
	p := locator.NewPusher(locator.Options{
		Self: flow.PeerOf(viewOf(1, 1), 0), Flows: owned, RefreshInterval: time.Minute, RetryDelay: time.Second, MaxRetryDelay: time.Hour,
	})
	p.SetView(0, viewOf(1, 1))
	now := time.Duration(0)
	for ; now < time.Hour; now += 10 * time.Second {
		p.Tick(now)
		is.True(p.UnacknowledgedPointers() <= len(owned))
	}
	p.SetView(now, viewOf(2, 2))
	sent := 0
	for range 100 {
		for _, m := range p.Tick(now) {
			is.Equal(m.To.Incarnation, view.Incarnation(2))
			sent += len(m.Batch.Flows)
		}
	}
	is.Equal(sent, p.UnacknowledgedPointers())
	is.True(sent > 0)
}
