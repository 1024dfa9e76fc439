// Package dissemination distributes keyed, versioned items from one root through
// relays to many daemons. Configuration entries and views of services are both
// items.
//
// The root numbers every change. A Position names a point in that sequence by
// the epoch of the root and the number of the change; every process that holds
// a position can continue from it at any relay. The parts are state machines:
//
//   - Root accepts changes and hands them to a Source.
//   - Source serves subscribers: deltas to those that are near, the whole state
//     in flow-controlled chunks to those that are not.
//   - Sink adopts what a Source sends. Positions and item versions only grow.
//   - Relay is a Sink and a Source over one Store.
//
// A Store keeps, for every key, the number of its latest change, and orders the
// keys by it. A delta after number n is therefore the tail of that order: a key
// that changed a hundred times travels once, and the only history to bound is
// that of deleted keys.
//
// A Sink that has just started puts nothing in force until it holds everything
// that the root had published when the Sink started, as confirmed by the root's
// quorum after that moment. A source that lags, or is cut off, cannot confirm
// it, so a restart never takes a daemon back.
//
// No part opens a socket or reads a clock: callers pass messages and the time
// since their own start.
package dissemination
