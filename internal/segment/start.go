package segment

import "time"

const (
	// maxFirstSequence is the highest sequence number of the first report that an agent
	// may receive from a backend server that has started with it: a few reports fail
	// while the agent's socket is not open yet.
	maxFirstSequence = 3
	// maxStartLead is how long before the agent a backend server may have started so
	// that no earlier process of the agent has forwarded flows to it. It is less than a
	// view with a new member and a restart of the agent take together.
	maxStartLead = 100 * time.Millisecond
)

// startedAfter reports whether the backend server has started after any earlier process
// of this agent, which itself has started at agentStart. The agent then knows all flows
// of the backend server. Both times are of the VM's clock; the sequence number keeps a
// step of that clock from making an old backend server look new.
func (r *BackendReport) startedAfter(agentStart time.Time) bool {
	switch {
	case r.Sequence <= 1:
		return true
	case r.StartedAt.IsZero() || r.Sequence > maxFirstSequence:
		return false
	}
	return agentStart.Sub(r.StartedAt) <= maxStartLead
}
