package quorum

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// startedTogether are replicas that start one after the other and campaign at once. As a
// link does, it keeps the messages to a replica that has not started yet.
type startedTogether struct {
	replicas map[ReplicaID]*Replica
	inFlight []Message
}

func (s *startedTogether) start(r *Replica) {
	s.replicas[r.id] = r
	r.Campaign()
}

// exchange delivers messages until none is left that can be.
func (s *startedTogether) exchange() {
	for range 100 {
		for _, r := range s.replicas {
			rd := r.Ready()
			s.inFlight = append(append(s.inFlight, rd.ImmediateMessages...), rd.Messages...)
			r.Advance(rd)
		}
		waiting := s.inFlight
		s.inFlight = nil
		for _, m := range waiting {
			if to := s.replicas[m.To]; to != nil {
				_ = to.Step(m) // elections involve rejected messages
			} else {
				s.inFlight = append(s.inFlight, m)
			}
		}
	}
}

func (s *startedTogether) leaders() (out []ReplicaID) {
	for id, r := range s.replicas {
		if r.role == Leader {
			out = append(out, id)
		}
	}
	return out
}

// Whatever the order of their starts, and however many start before the first messages
// arrive, replicas elect one leader as soon as a majority runs, without a tick.
func TestReplicasStartedTogetherElectALeaderAtOnce(t *testing.T) {
	is := is.New(t)
	orders := [][]ReplicaID{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}}
	for _, order := range orders {
		for together := 1; together <= 3; together++ {
			s := &startedTogether{replicas: make(map[ReplicaID]*Replica)}
			for group := range slices.Chunk(order, together) {
				for _, id := range group {
					s.start(restartedReplica(t, id, 1))
				}
				s.exchange()
				if len(s.replicas) >= 2 {
					is.Equal(len(s.leaders()), 1)
				}
			}
		}
	}
}
