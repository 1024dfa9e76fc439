package fleet

import (
	"fmt"
	"time"
)

// CommandKind is what a command does.
type CommandKind uint8

// The kinds of commands.
const (
	// KindApply replaces the whole document. Its content is either the document
	// or the patch that makes it of the expected version.
	KindApply CommandKind = iota + 1
	// KindPatch changes single items.
	KindPatch
	// KindRollback makes a new version that equals an earlier one.
	KindRollback
	// KindDrain drains a backend server.
	KindDrain
	// KindCancelDrain ends a drain.
	KindCancelDrain
	// KindImport replaces the document by one that another system numbers.
	KindImport
	// KindRegistrations notes which agents there are. The leader proposes it.
	KindRegistrations
)

var kindNames = map[CommandKind]string{
	KindApply: "apply", KindPatch: "patch", KindRollback: "rollback", KindDrain: "drain", KindCancelDrain: "cancel drain",
	KindImport: "import", KindRegistrations: "seats",
}

// String returns the kind's name.
func (k CommandKind) String() string { return nameOf(kindNames, k, "kind") }

// MarshalText returns the kind's name.
func (k CommandKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's name.
func (k *CommandKind) UnmarshalText(text []byte) error { return unmarshalName(kindNames, k, text) }

// nameOf returns the name of value, or its number behind what it is.
func nameOf[T ~uint8](names map[T]string, value T, what string) string {
	if name, ok := names[value]; ok {
		return name
	}
	return fmt.Sprintf("%s(%d)", what, uint8(value))
}

// unmarshalName sets value to the one that names has text for.
func unmarshalName[T comparable](names map[T]string, value *T, text []byte) error {
	for v, name := range names {
		if name == string(text) {
			*value = v
			return nil
		}
	}
	return ErrInvalidValue.New("%q is not a known name", text)
}

// Command is one entry of the replicated log.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint" json:"kind"`
	// RequestID is unique to what the operator asked for. A resend with the
	// same ID gets the first result. Without one nothing is remembered.
	RequestID string `cbor:"2,keyasint,omitempty" json:"request_id,omitempty"`
	// Author and At are who asked and when, by the proposer's clock. They
	// are shown in the history and decide nothing.
	Author     string    `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	Comment    string    `cbor:"5,keyasint,omitempty" json:"comment,omitempty"`
	// ExpectedVersion is the version that the operator saw. Apply and Rollback need
	// it to be the current one. Patch needs the items that it touches to be
	// unchanged since.
	ExpectedVersion uint64 `cbor:"6,keyasint" json:"expected"`
	// Document is the content of KindApply. The machine keeps it.
	Document *Document `cbor:"7,keyasint,omitempty" json:"document,omitempty"`
	// Patch is the content of KindPatch, or of KindApply in place of Document.
	// The machine keeps it.
	Patch *Patch `cbor:"8,keyasint,omitempty" json:"patch,omitempty"`
	// RollbackVersion is set for KindRollback: the version to return to.
	RollbackVersion uint64 `cbor:"9,keyasint,omitempty" json:"version,omitempty"`
	// BackendServer is set for KindDrain and KindCancelDrain.
	BackendServer string `cbor:"10,keyasint,omitempty" json:"backend_server,omitempty"`
	// Import is set for KindImport, beside Document.
	Import *Import `cbor:"11,keyasint,omitempty" json:"import,omitempty"`
	// Registrations is the content of KindSeats.
	Registrations *RegistrationChange `cbor:"12,keyasint,omitempty" json:"seats,omitempty"`
}

// Outcome is how a command ended.
type Outcome uint8

// The outcomes of commands.
const (
	// OutcomeAccepted commands are in force from Result.Version and Result.Revision.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeConflict is for commands that expected another version.
	OutcomeConflict
	// OutcomeInvalid is for commands with problems.
	OutcomeInvalid
	// OutcomeNotFound is for a version or a drain that does not exist.
	OutcomeNotFound
	// OutcomeRequestIDReused is for a request ID that an unlike command used before.
	OutcomeRequestIDReused
)

var outcomeNames = map[Outcome]string{
	OutcomeAccepted: "accepted", OutcomeConflict: "conflict", OutcomeInvalid: "invalid", OutcomeNotFound: "not found", OutcomeRequestIDReused: "request ID reused",
}

// String returns the outcome's name.
func (o Outcome) String() string { return nameOf(outcomeNames, o, "outcome") }

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outcome's name.
func (o *Outcome) UnmarshalText(text []byte) error { return unmarshalName(outcomeNames, o, text) }

// Result is the answer to a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version numbers the document: the one made by an accepted command, else
	// the current one. It grows with every accepted apply, patch and rollback.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Revision numbers the state with its drains. It grows with every
	// accepted change.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Problems are what is wrong with an invalid command.
	Problems []Problem `cbor:"4,keyasint,omitempty" json:"problems,omitempty"`
}

// Drain asks that a backend server takes no new work. It holds until it is
// cancelled, also while the backend server is away.
type Drain struct {
	BackendServer string    `cbor:"1,keyasint" json:"backend_server"`
	Author        string    `cbor:"2,keyasint" json:"author,omitempty"`
	ProposedAt    time.Time `cbor:"3,keyasint" json:"at"`
	Comment       string    `cbor:"4,keyasint" json:"comment,omitempty"`
}

// Limits of a command.
const (
	maxTextLength = 1_000 // bytes, of request ID, author and comment each
	maxDrains     = 20_000
)

// problems returns what is wrong with the command apart from its content.
func (c *Command) problems() []Problem {
	var found []Problem
	add := func(key, format string, args ...any) {
		found = append(found, Problem{Section: "command", Key: key, Message: fmt.Sprintf(format, args...)})
	}
	for _, text := range []struct{ key, value string }{
		{"request_id", c.RequestID}, {"author", c.Author}, {"comment", c.Comment},
	} {
		if len(text.value) > maxTextLength {
			add(text.key, "%d bytes are more than %d", len(text.value), maxTextLength)
		}
	}
	switch c.Kind {
	case KindApply:
		if (c.Document == nil) == (c.Patch == nil) {
			add("document", "either a document or a patch is required")
		}
	case KindPatch:
		if c.Patch == nil {
			add("patch", "a patch is required")
		}
	case KindRollback:
	case KindRegistrations:
		if c.Registrations == nil {
			add("seats", "a change of seats is required")
		} else {
			found = append(found, c.Registrations.problems()...)
		}
	case KindImport:
		if c.Document == nil || c.Import == nil || c.Import.Number == 0 {
			add("import", "a document with a number above 0 is required")
		}
	case KindDrain, KindCancelDrain:
		if !ValidName(c.BackendServer) {
			add("backend_server", "%q is not the name of a backend server", c.BackendServer)
		}
	default:
		add("kind", "%s is unknown", c.Kind)
	}
	return found
}
