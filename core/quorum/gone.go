package quorum

// LeaderGone records that the process of the leader of a term has ended, as the caller
// knows from its VM and not from its silence. The replica campaigns without waiting for
// the election timeout, and grants the pre-votes of others. A leader that is only paused
// or cut off must not be reported: it would be replaced, which harms no state and delays
// proposals.
func (r *Replica) LeaderGone(leader ReplicaID, term uint64) {
	if r.role != Follower || leader == 0 || r.leader != leader || r.term != term {
		return // another leader is known, or none
	}
	r.leader = 0
	r.Campaign()
}

// repeatPreVote sends this replica's pre-vote request again to a replica that campaigns
// too, and so knows no leader now, although it may have ignored the first request.
func (r *Replica) repeatPreVote(to ReplicaID) {
	r.send(Message{
		Type: MsgPreVote, To: to, Term: r.term + 1,
		Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
	})
}
