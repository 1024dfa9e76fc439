// Package handover transfers a process's sockets and state to its successor on
// the same VM, so that a planned restart of a daemon interrupts no flow. The
// successor connects to the predecessor's unix socket, which only their user can
// open.
//
// The predecessor pauses, sends its bundle, and releases its sockets only once
// the successor has confirmed the whole bundle. If any earlier step fails, the
// predecessor resumes serving.
package handover

import (
	"github.com/joomcode/errorx"
)

// Errors of a handover.
var (
	Errors = errorx.NewNamespace("handover")

	// ListenFailed is the type of errors in opening the predecessor's unix socket.
	ListenFailed = Errors.NewType("listen_failed")
	// Failed is the type of errors that abort a handover.
	Failed = Errors.NewType("failed")
)

// Item is a unit of a handover: a socket, state, or both.
type Item struct {
	// Role and Name identify the item's owner, such as "agent" and the backend
	// server's ID.
	Role string
	Name string
	// Kind distinguishes the items of a role.
	Kind string
	// Body is state in the role's own encoding.
	Body []byte
	// Socket is the socket to transfer; nil if the item consists of state only.
	Socket Socket
}

// Bundle is the complete set of items that a process hands over.
type Bundle []Item

// Split separates the items of one role and name from the rest.
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

// Close closes the sockets of all items. It is for items that no role has
// adopted.
func (b Bundle) Close() {
	for _, item := range b {
		if item.Socket != nil {
			_ = item.Socket.Close()
		}
	}
}

// Predecessor is a process, or a role of one, that can hand over to a successor.
// Its methods are called in the order Pause, then either Resume or Release.
type Predecessor interface {
	// Pause stops reading from the sockets and returns the items to hand over. The
	// sockets stay open until Release.
	Pause() (Bundle, error)
	// Resume resumes reading after a failed handover.
	Resume()
	// Release closes the sockets, once the successor has confirmed that it holds
	// them.
	Release()
}
