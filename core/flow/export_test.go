package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/core/view"
)

func TestExportPreservesOwnershipPointersAndPromises(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	self, other := Peer{Seed: 1, Incarnation: 1}, Peer{Seed: 2, Incarnation: 7}
	before := NewAgent(AgentOptions{Self: self})
	ballot := Ballot{Version: view.Version{Epoch: 3, Number: 4}, Retake: true}
	before.Import(now, []Record{
		{ID: ID{Key: 1, Check: 1}, Owned: true, Idle: time.Second},
		{ID: ID{Key: 2, Check: 2}, Owner: other, PromisedBallot: ballot, Home: other},
		{ID: ID{Key: 3, Check: 3}, PromisedBallot: ballot},
	})
	first := before.Export(now)
	is.Equal(len(first), 3)
	after := NewAgent(AgentOptions{Self: self})
	after.Import(2*time.Second, first) // the next run has another clock start
	second := after.Export(2 * time.Second)
	is.Equal(second, first)
	is.True(after.Owns(ID{Key: 1, Check: 1}))
	is.Equal(after.ownedCount.Load(), int64(1))
	for _, r := range second {
		switch r.ID.Key {
		case 2:
			is.Equal(r.Owner, other)
			is.Equal(r.Home, other)
			is.Equal(r.PromisedBallot, ballot)
		case 3:
			is.Equal(r.PromisedBallot, ballot)
			is.True(!r.Owned && r.Owner.IsZero())
		}
	}
}
