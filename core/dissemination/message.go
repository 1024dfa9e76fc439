package dissemination

import "time"

// UpstreamMessage is one message from a Sink to its Source. Exactly one pointer is set.
type UpstreamMessage struct {
	// Session tells the daemon's sessions apart. It is never reused, and grows
	// within a connection.
	Session   uint64     `cbor:"1,keyasint"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Ack       *Ack       `cbor:"3,keyasint,omitempty"`
	Compare   *Compare   `cbor:"4,keyasint,omitempty"`
}

// DownstreamMessage is one message from a Source to a Sink. Exactly one pointer is set.
type DownstreamMessage struct {
	// Session is that of the Subscribe.
	Session uint64   `cbor:"1,keyasint"`
	Batch   *Batch   `cbor:"2,keyasint,omitempty"`
	Status  *Status  `cbor:"3,keyasint,omitempty"`
	Repair  *Repair  `cbor:"4,keyasint,omitempty"`
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
}

// Subscribe opens a session.
type Subscribe struct {
	// DaemonID names the daemon.
	DaemonID string `cbor:"1,keyasint"`
	// Position is what the daemon holds already.
	Position Position `cbor:"2,keyasint"`
	// Keys restricts the session to some keys; empty means every key.
	Keys []string `cbor:"3,keyasint,omitempty"`
	// IsRelay is set by a relay, whose Ack carries a Summary.
	IsRelay bool `cbor:"4,keyasint,omitempty"`
	// FullTransfer asks for the whole state, after such a transfer was cut.
	FullTransfer bool `cbor:"5,keyasint,omitempty"`
}

// Ack tells what was received and what is in force, and asks for a Status.
type Ack struct {
	// Received is the end of the last batch taken.
	Received Position `cbor:"1,keyasint"`
	// Applied is the last position of which everything is in force.
	Applied Position `cbor:"2,keyasint"`
	// TransferID is the whole-state transfer that Received belongs to.
	TransferID uint32 `cbor:"3,keyasint,omitempty"`
	// Nonce asks for a Status; 0 asks for none.
	Nonce uint64 `cbor:"4,keyasint,omitempty"`
	// Summary covers the daemons behind a relay.
	Summary *RelaySummary `cbor:"5,keyasint,omitempty"`
	// NewerVersions lists items that are newer here than at the Source.
	NewerVersions []KeyVersion `cbor:"6,keyasint,omitempty"`
}

// Compare asks for the differences at a position at which the digests of the
// state differ.
type Compare struct {
	Position Position `cbor:"1,keyasint"`
	// BucketDigests holds the digest of each bucket of keys.
	BucketDigests []uint64 `cbor:"2,keyasint"`
}

// EpochStart tells at which number an epoch began: its first change is
// Start+1, and what earlier epochs numbered beyond Start is void.
type EpochStart struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Start uint64 `cbor:"2,keyasint"`
}

// Batch carries every change between two positions, one per key.
type Batch struct {
	From    Position `cbor:"1,keyasint"`
	To      Position `cbor:"2,keyasint"`
	Changes []Change `cbor:"3,keyasint"`
	// HasMore is set while further batches are due before the state is complete.
	HasMore bool `cbor:"4,keyasint,omitempty"`
	// TransferID, if not 0, numbers a whole-state transfer of the session: at
	// its end, keys that it did not contain are gone.
	TransferID uint32 `cbor:"5,keyasint,omitempty"`
	// Epochs lists the latest epochs, where the batch enters a new one.
	Epochs []EpochStart `cbor:"6,keyasint,omitempty"`
}

// Status answers an Ack with a nonce.
type Status struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// From and Through bound a range without changes for the subscriber.
	From Position `cbor:"2,keyasint"`
	To   Position `cbor:"3,keyasint"`
	// Head is the position that the Source holds.
	Head Position `cbor:"4,keyasint"`
	// Confirmed is set if a quorum confirmed, Age ago, that the root was the
	// only one; Head includes everything published before that.
	Confirmed       bool          `cbor:"5,keyasint,omitempty"`
	ConfirmationAge time.Duration `cbor:"6,keyasint,omitempty"`
	// Digest covers the subscriber's keys at Through.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// HasDigest is set if Digest is valid.
	HasDigest bool `cbor:"8,keyasint,omitempty"`
}

// Repair carries the whole content of some buckets at a position.
type Repair struct {
	Position Position `cbor:"1,keyasint"`
	Buckets  []uint16 `cbor:"2,keyasint"`
	Changes  []Change `cbor:"3,keyasint"`
}

// Refusal tells a daemon to try another relay, and not this one before
// RetryAfter.
type Refusal struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
}
