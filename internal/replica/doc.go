// Package replica runs one replica of the replicated log: one goroutine feeds
// core/quorum from a transport, a durable store and a ticker, and applies
// committed commands to a state machine.
//
// A store that fails ends the replica: it acknowledges nothing more,
// and Done is closed.
package replica
