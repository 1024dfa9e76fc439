package disk

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("disk")

var (
	// Damaged reports bytes that were once on disk and no longer read back.
	// The message names file and offset. Replace the replica.
	Damaged = Errors.NewType("damaged")
	// Failed reports a write or sync that did not succeed. The store takes
	// nothing more.
	Failed = Errors.NewType("failed")
	// Format reports a file of a format version that this build cannot read.
	Format = Errors.NewType("format")
	// Foreign reports files of different replicas or clusters in one folder.
	Foreign = Errors.NewType("foreign")
	// InUse reports a folder that another process has open.
	InUse = Errors.NewType("in_use")
)
