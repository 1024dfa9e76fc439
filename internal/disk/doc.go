// Package disk stores a replica's hard state, log and snapshot in one directory.
//
// The directory holds one log file, at most one snapshot file, and a lock file.
// Log and snapshot are sequences of checksummed frames; the first frame of each
// is a header with the format version, the replica and the cluster. A log frame
// holds one record, the result of one save. Every frame is synced before the next
// one is written, so an invalid frame that is followed by a valid one was
// corrupted after its write, and only the last frame can be torn.
//
// A failed write or sync stops the store permanently: after a failed fsync the
// kernel may drop the dirty pages and report success the next time, so a retry
// could acknowledge data that is not on disk.
package disk
