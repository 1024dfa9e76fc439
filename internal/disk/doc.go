// Package disk keeps a replica's hard state, log and snapshot in one folder.
//
// The folder holds one log file and at most one snapshot file, plus a lock
// file. Both are sequences of checksummed frames; the first frame of each is a
// header with the format version, the replica and the cluster. A log frame
// holds one save. Every frame is synced before the next one is written, so a
// bad frame that is followed by a good one was damaged later, and only the
// last frame can be torn.
//
// A write or sync that fails stops the store for good: after a failed fsync
// the kernel may drop the dirty pages and report success the next time, so
// trying again could acknowledge what is not on disk.
package disk
