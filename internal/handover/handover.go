// Package handover passes a process's sockets and state to its successor on
// the same VM, so that a planned restart of a daemon breaks no flow. The two
// meet on a unix socket that only their user can open.
//
// The predecessor pauses, sends everything, and stops for good only once the
// successor has confirmed that it holds it all. Where anything fails earlier,
// the predecessor goes on as if nothing had happened.
package handover

import (
	"github.com/joomcode/errorx"
)

// Errors of a handover.
var (
	Errors = errorx.NewNamespace("handover")

	// ListenFailed: the predecessor's socket could not be opened.
	ListenFailed = Errors.NewType("listen_failed")
	// Failed: the handover did not take place.
	Failed = Errors.NewType("failed")
)

// Item is one thing handed over: a socket, a piece of state, or both.
type Item struct {
	// Role and Name tell whose item it is, such as "agent" and the backend
	// server's ID.
	Role string
	Name string
	// Kind tells what it is among the role's items.
	Kind string
	// Body is state in the role's own encoding.
	Body []byte
	// Socket is a socket to pass; nil where the item is state alone.
	Socket Socket
}

// Bundle is all that one process hands over.
type Bundle []Item

// Split parts the items of one role and name from the rest.
func (b Bundle) Split(role, name string) (own, rest Bundle) {
	for _, item := range b {
		if item.Role == role && item.Name == name {
			own = append(own, item)
		} else {
			rest = append(rest, item)
		}
	}
	return own, rest
}

// Close closes the sockets of items that nobody took.
func (b Bundle) Close() {
	for _, item := range b {
		if item.Socket != nil {
			_ = item.Socket.Close()
		}
	}
}

// Predecessor is a process that can be succeeded. Its methods are called in
// the order Pause, then either Resume or Leave.
type Predecessor interface {
	// Pause stops reading and returns what there is to hand over. The sockets
	// stay open until Leave.
	Pause() (Bundle, error)
	// Resume goes on after a handover that failed.
	Resume()
	// Release ends the process's part: the successor has everything.
	Release()
}
