package replica

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

// Guards against a stop that hands leadership to a voter that has just failed, stops too or
// lags behind another one.
func TestBestSuccessor(t *testing.T) {
	progress := func(id quorum.ReplicaID, match uint64, idle int) quorum.Progress {
		return quorum.Progress{ID: id, Match: match, IdleTicks: idle, State: quorum.StateReplicate}
	}
	cases := []struct {
		name     string
		progress []quorum.Progress
		want     quorum.ReplicaID
	}{
		{"the most up-to-date one", []quorum.Progress{progress(2, 7, 0), progress(3, 9, 2)}, 3},
		{"one that has just failed", []quorum.Progress{progress(2, 9, 1), progress(3, 9, 8)}, 2},
		{"one that lags, and one that has just failed", []quorum.Progress{progress(2, 7, 1), progress(3, 9, 8)}, 2},
		{"one that stops too", []quorum.Progress{progress(2, 7, 0), progress(4, 9, 0)}, 2},
		{"a learner", []quorum.Progress{progress(2, 7, 0), progress(5, 9, 0)}, 2},
		{"none", []quorum.Progress{progress(4, 9, 0)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Status{Status: quorum.Status{Progress: c.progress, Membership: quorum.NewMembership(
				quorum.Member{ID: 1}, quorum.Member{ID: 2}, quorum.Member{ID: 3}, quorum.Member{ID: 4}, quorum.Member{ID: 5, IsLearner: true},
			)}}
			got, ok := bestSuccessor(s, func(id quorum.ReplicaID) bool { return id == 4 })
			is.Equal(got, c.want)
			is.Equal(ok, c.want != 0)
		})
	}
}
