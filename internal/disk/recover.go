package disk

import (
	"fulmarmount.org/core/quorum"
)

// ForceNewCluster makes the replica in the store the only voter of a new cluster
// that starts from the replica's log. It is for a cluster that has permanently lost
// its quorum: commands that only the lost replicas held are lost. Replicas of the
// old cluster cannot communicate with the new one, as its ID differs.
func (s *Store) ForceNewCluster(cluster quorum.ClusterID, self quorum.Member) error {
	if s.failure != nil {
		return s.failure
	}
	self.ID, self.IsLearner = s.replica, false
	snapshot := s.state.Snapshot
	snapshot.Membership = quorum.NewMembership(self)
	last := snapshot.Index
	entries := make([]quorum.Entry, 0, len(s.state.Entries))
	for _, e := range s.state.Entries {
		if e.Kind == quorum.EntryChange {
			e = quorum.Entry{Index: e.Index, Term: e.Term, Kind: quorum.EntryNoop}
		}
		entries = append(entries, e)
		last = max(last, e.Index)
	}
	// The log of the new cluster is written first: if a crash leaves it with the
	// old snapshot, Open rejects the directory for its mismatched cluster IDs instead
	// of starting from a partial change.
	s.state.HardState.Cluster = cluster
	s.state.HardState.Commit = last
	s.state.Entries = entries
	if err := s.rewriteLog(); err != nil {
		return err
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return s.fail(err, "snapshot %d", snapshot.Index)
	}
	return nil
}
