package fleet

import (
	"fmt"
	"time"
)

// CommandKind is the operation of a command.
type CommandKind uint8

// The kinds of commands.
const (
	// KindApply replaces the whole document. It carries either the new document or
	// a patch to the expected version.
	KindApply CommandKind = iota + 1
	// KindPatch changes individual items of the document.
	KindPatch
	// KindRollback creates a new version equal to an earlier one.
	KindRollback
	// KindDrain drains a backend server.
	KindDrain
	// KindCancelDrain cancels a drain.
	KindCancelDrain
	// KindImport replaces the document by a numbered document of another system.
	KindImport
	// KindRegistrations adds and removes registered agents. The leader proposes it.
	KindRegistrations
	// KindEvacuate evacuates an availability zone.
	KindEvacuate
	// KindEndEvacuation ends the evacuation of an availability zone.
	KindEndEvacuation
)

// kindNames are the names of the kinds in JSON.
var kindNames = map[CommandKind]string{
	KindApply: "apply", KindPatch: "patch", KindRollback: "rollback", KindDrain: "drain", KindCancelDrain: "cancel drain",
	KindImport: "import", KindRegistrations: "seats", KindEvacuate: "evacuate", KindEndEvacuation: "end evacuation",
}

// String returns the kind's name.
func (k CommandKind) String() string { return nameOf(kindNames, k, "kind") }

// MarshalText returns the kind's name.
func (k CommandKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's name.
func (k *CommandKind) UnmarshalText(text []byte) error { return unmarshalName(kindNames, k, text) }

// nameOf returns the name of value, or typeName with the number if it has no name.
func nameOf[T ~uint8](names map[T]string, value T, typeName string) string {
	if name, ok := names[value]; ok {
		return name
	}
	return fmt.Sprintf("%s(%d)", typeName, uint8(value))
}

// unmarshalName sets value to the one whose name is text.
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
	// RequestID identifies the operator's request. A command that is resent with
	// the same ID returns the first result. Results of commands without an ID are
	// not stored.
	RequestID string `cbor:"2,keyasint,omitempty" json:"request_id,omitempty"`
	// Author is the user who issued the command and ProposedAt the time by the
	// proposer's clock. They appear in the history and do not affect execution.
	Author     string    `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	Comment    string    `cbor:"5,keyasint,omitempty" json:"comment,omitempty"`
	// ExpectedVersion is the version on which the operator based the command.
	// KindApply and KindRollback require it to be the current version. KindPatch
	// requires that the items it changes are unchanged since that version.
	ExpectedVersion uint64 `cbor:"6,keyasint" json:"expected"`
	// Document is the content of KindApply or KindImport. The StateMachine retains it.
	Document *Document `cbor:"7,keyasint,omitempty" json:"document,omitempty"`
	// Patch is the content of KindPatch, or of KindApply in place of Document. The
	// StateMachine retains it.
	Patch *Patch `cbor:"8,keyasint,omitempty" json:"patch,omitempty"`
	// RollbackVersion is the version that KindRollback restores.
	RollbackVersion uint64 `cbor:"9,keyasint,omitempty" json:"version,omitempty"`
	// BackendServer is set for KindDrain and KindCancelDrain.
	BackendServer string `cbor:"10,keyasint,omitempty" json:"backend_server,omitempty"`
	// Import is set for KindImport, together with Document.
	Import *Import `cbor:"11,keyasint,omitempty" json:"import,omitempty"`
	// Registrations is the content of KindRegistrations.
	Registrations *RegistrationChange `cbor:"12,keyasint,omitempty" json:"seats,omitempty"`
	// Zone is set for KindEvacuate and KindEndEvacuation.
	Zone string `cbor:"13,keyasint,omitempty" json:"zone,omitempty"`
	// Reason is the operator's explanation, which KindEvacuate requires. The
	// Evacuation retains it; Comment is a remark for the history of the document.
	Reason string `cbor:"14,keyasint,omitempty" json:"reason,omitempty"`
	// ExpectedRevision is the EvacuationRevision on which the operator based
	// KindEvacuate or KindEndEvacuation.
	ExpectedRevision uint64 `cbor:"15,keyasint,omitempty" json:"expected_revision,omitempty"`
}

// Outcome is the outcome of a command.
type Outcome uint8

// The outcomes of commands.
const (
	// OutcomeAccepted means that the command is effective from Result.Version and
	// Result.Revision on.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeConflict means that the expected version or revision conflicts with later
	// changes.
	OutcomeConflict
	// OutcomeInvalid means that validation found the problems in Result.Problems.
	OutcomeInvalid
	// OutcomeNotFound means that the version or the drain does not exist.
	OutcomeNotFound
	// OutcomeRequestIDReused means that a different command used the request ID before.
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

// Result is the result of a command.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the version of the document after the command. It increases with
	// every accepted apply, patch, rollback and newer import.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Revision is the revision of the state, which includes the drains and
	// evacuations. It increases with the version and with every change of those.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Problems lists the validation errors of an invalid command.
	Problems []Problem `cbor:"4,keyasint,omitempty" json:"problems,omitempty"`
}

// Drain excludes a backend server from new work. It remains until it is cancelled,
// even while the backend server is absent.
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

// validate returns the problems of the command, except those of its documents and
// patches.
func (c *Command) validate() []Problem {
	var problems []Problem
	add := func(key, format string, args ...any) {
		problems = append(problems, Problem{Section: "command", Key: key, Message: fmt.Sprintf(format, args...)})
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
			add("seats", "a change of the registered agents is required")
		} else {
			problems = append(problems, c.Registrations.validate()...)
		}
	case KindImport:
		if c.Document == nil || c.Import == nil || c.Import.Number == 0 {
			add("import", "a document with a number above 0 is required")
		}
	case KindDrain, KindCancelDrain:
		if !ValidName(c.BackendServer) {
			add("backend_server", "%q is not the name of a backend server", c.BackendServer)
		}
	case KindEvacuate, KindEndEvacuation:
		problems = append(problems, c.validateEvacuation()...)
	default:
		add("kind", "%s is unknown", c.Kind)
	}
	return problems
}
