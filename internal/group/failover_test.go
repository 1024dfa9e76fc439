package group_test

import (
	"testing"
	"time"
)

// A killed leader is replaced without an operator, also where another replica has just
// restarted. The test logs how long the next acknowledgement takes, and bounds nothing.
func TestKilledLeaderIsReplaced(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := newDeployment(t)
	s.apply(3)
	for range 4 {
		killed := s.leader()
		if s.vms[s.proposer] == killed {
			s.proposer = (s.proposer + 1) % len(s.vms)
		}
		s.kill(killed)
		began := time.Now()
		s.apply(1)
		t.Logf("%s killed: the next acknowledgement after %s", killed.name, time.Since(began).Round(10*time.Millisecond))
		s.start(killed)
		s.retryFulmarctl("status")
	}
	for id, first := range s.results {
		if again := s.propose(applyCommand(first.Version)); again.Version != first.Version {
			t.Fatalf("resend of %s: %+v, first %+v", id, again, first)
		}
	}
}
