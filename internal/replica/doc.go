// Package replica runs one replica of the replicated log. A single goroutine, the
// event loop, passes ticks and received messages to core/quorum, saves its state in
// a store, sends its messages and applies committed commands to a state machine.
//
// After a failed write to the store, the replica acknowledges nothing more and
// stops: the channel of Node.Done is closed.
package replica
