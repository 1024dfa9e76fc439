package disk

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("disk")

var (
	// ErrCorrupt reports a file that is missing or no longer holds the bytes that
	// were written. The message names the file and, within it, the offset. The
	// replica must be replaced.
	ErrCorrupt = Errors.NewType("damaged")
	// ErrIO reports a failed file operation. After a failed write or sync, the store
	// rejects every further write.
	ErrIO = Errors.NewType("failed")
	// ErrUnsupportedFormat reports a file whose format version this build cannot read.
	ErrUnsupportedFormat = Errors.NewType("format")
	// ErrIdentityMismatch reports a file of another kind, or files of different replicas
	// or clusters in one directory.
	ErrIdentityMismatch = Errors.NewType("foreign")
	// ErrInUse reports a directory that another process has open.
	ErrInUse = Errors.NewType("in_use")
)
