package quorum

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
)

// randomMessage returns a message with random content, most of it impossible, that names
// a replica of the cluster as its sender.
func randomMessage(random *rand.Rand, to ReplicaID) Message {
	value, _ := quick.Value(reflect.TypeOf(Message{}), random)
	m, _ := value.Interface().(Message)
	m.Type = MessageType(random.Intn(20))
	m.Cluster, m.From, m.To = 1, ReplicaID(random.Intn(4)), to
	for _, field := range []*uint64{&m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.RejectHint, &m.RejectHintTerm, &m.Context} {
		if random.Intn(8) > 0 {
			*field = uint64(random.Intn(6))
		}
	}
	for i := range m.Entries {
		if random.Intn(4) > 0 {
			m.Entries[i].Index, m.Entries[i].Term = m.Index+uint64(i)+1, m.Term
		}
	}
	return m
}

// Replicas are authenticated, but one with a fault may send anything. It must not take
// the others down with it.
func TestNoMessageStopsReplica(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		r := restartedReplica(t, 1, uint64(seed))
		for range 200 {
			switch random.Intn(5) {
			case 0:
				r.Tick()
			case 1:
				_ = r.Propose(1, []byte("command"))
			default:
				_ = r.Step(randomMessage(random, 1))
			}
			rd := r.Ready()
			r.Advance(rd)
		}
	}
}
