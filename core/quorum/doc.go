// Package quorum implements the Raft consensus protocol as a pure state
// machine. Its inputs are messages and ticks; its output is a Ready with the
// state to save, the messages to send and the entries to apply. It uses no
// sockets, files, clocks or goroutines and is deterministic.
//
// It follows "In Search of an Understandable Consensus Algorithm" (the Raft
// paper) and Ongaro's dissertation "Consensus: Bridging Theory and Practice"
// (the thesis): pre-vote (thesis, 9.6), check-quorum (thesis, 6.2), read index
// (thesis, 6.4), learners and single-server membership changes (thesis, 4.1 and
// 4.2.1), leadership transfer (thesis, 3.10) and snapshots (paper, section 7).
// Reads need no leader lease, so no bound on clock drift is assumed: drifting
// clocks reduce availability only.
//
// The caller's loop saves the state in a Ready before it sends Ready.Messages,
// applies Ready.CommittedEntries and then calls Advance. It must call no other
// method between Ready and Advance.
package quorum
