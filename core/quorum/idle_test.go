package quorum

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// groupWithLearner returns replicas 1 to 3, one of which leads, and learner 4 with the
// whole log.
func groupWithLearner(t *testing.T) *sim {
	t.Helper()
	s := newSim(1, 3)
	for s.leader() == nil {
		s.step()
	}
	learner := &node{id: 4, clockRate: 1}
	s.nodes = append(s.nodes, learner)
	s.start(learner)
	s.run(50) // the leader commits an entry of its term
	if err := s.leader().r.ProposeChange(1, ConfChange{Op: AddLearner, Member: Member{ID: learner.id}}); err != nil {
		t.Fatal(err)
	}
	s.run(200)
	return s
}

// Guards against a promotion that costs the group a vote: it counts from the moment it is
// appended, so a learner that has just failed must not be promoted.
func TestLearnerThatHasJustFailedIsNotPromoted(t *testing.T) {
	is := is.New(t)
	s := groupWithLearner(t)
	leader := s.leader()
	promote := ConfChange{Op: PromoteLearner, Member: Member{ID: 4}}
	is.True(leader.r.progressOf(4).IdleTicks <= maxPromotionIdleHeartbeats)
	s.crash(s.nodes[3])
	for leader.r.progressOf(4).IdleTicks <= maxPromotionIdleHeartbeats {
		s.step()
	}
	is.True(leader.r.isRecentlyActive(4)) // the checks of the quorum have not noticed it yet
	is.True(errorx.IsOfType(leader.r.ProposeChange(2, promote), ErrNotCaughtUp))
}

// Guards against a new leader that measures the silence of the former one from its own
// election, and so replaces it late.
func TestNewLeaderKnowsSilenceOfFormerLeader(t *testing.T) {
	is := is.New(t)
	s := groupWithLearner(t)
	former := s.leader()
	s.crash(former)
	since := s.now
	for s.leader() == nil {
		s.step()
	}
	next := s.leader()
	is.True(next.r.progressOf(former.id).IdleTicks >= next.r.config.ElectionTicks)
	is.True(next.r.progressOf(former.id).IdleTicks <= s.now-since+1)
	for _, p := range next.r.progress {
		if p.ID != former.id {
			is.True(p.IdleTicks <= maxPromotionIdleHeartbeats)
		}
	}
}
