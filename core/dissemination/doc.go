// Package dissemination distributes keyed, versioned items from one root through
// relays to many daemons. Configuration entries and views of services are both
// items.
//
// The root numbers every change. A Position identifies a point in that sequence
// by the epoch of the root and the number of the change. A process at a position
// can continue from it at any relay. The components are state machines:
//
//   - Root accepts changes and distributes them through a Source.
//   - Source sends deltas to subscribers whose position it can continue from, and
//     the full state in flow-controlled batches to the others.
//   - Sink stores and applies the changes that a Source sends. Positions and item
//     versions never decrease.
//   - Relay combines a Sink and a Source over one Store.
//
// A Store keeps, for every key, the number of its latest change, and orders the
// keys by that number. A delta after number n is therefore the tail of that order.
// A key that changed a hundred times is sent once, and only the history of deleted
// keys needs a bound.
//
// A Sink applies nothing after its start until its store contains everything that
// the root had published when the Sink started, as confirmed by the root's quorum
// after that time. A source that lags or is partitioned cannot give that
// confirmation, so a restart never reverts a daemon to older state.
//
// No component opens a socket or reads a clock. Callers pass messages and the time
// since their own start.
package dissemination
