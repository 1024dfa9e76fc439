package disk

import (
	"fulmarmount.org/core/quorum"
)

// Recover makes the replica in the store the only voter of a new cluster that
// starts from its log. It is for a cluster that lost its quorum for good:
// commands that only the lost replicas held are gone. The new cluster's ID
// keeps replicas of the old one out.
func (s *Store) Recover(cluster quorum.ClusterID, self quorum.Member) error {
	if s.failed != nil {
		return s.failed
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
	// The log of the new cluster comes first: with it and the old snapshot
	// the folder is refused as foreign rather than started half changed.
	s.state.HardState.Cluster = cluster
	s.state.HardState.Commit = last
	s.state.Entries = entries
	if err := s.rewrite(); err != nil {
		return err
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return s.fail(err, "snapshot %d", snapshot.Index)
	}
	return nil
}
