// Package quorum is a replicated log of the Raft family as a pure state
// machine: messages and ticks go in, a Ready with state to save, messages to
// send and entries to apply comes out. It holds no socket, file, clock or
// goroutine, and reproduces exactly from its inputs.
//
// Rules are taken from "In Search of an Understandable Consensus Algorithm"
// (the Raft paper) and Ongaro's dissertation "Consensus: Bridging Theory and
// Practice" (the thesis): pre-vote (thesis, 9.6), check-quorum (thesis, 6.2),
// read index (thesis, 6.4), learners and one-at-a-time membership change
// (thesis, 4.1 and 4.2.1), leadership transfer (thesis, 3.10) and snapshots
// (paper, section 7). Reads need no lease, so no clock bound is assumed:
// clocks that drift cost availability only.
//
// A loop around a Replica saves what Ready asks for before it sends
// Ready.Messages, applies Ready.Committed, and then calls Advance. Between
// Ready and Advance no other method may be called.
package quorum
