package dissemination

import "time"

// UpstreamMessage is a message from a Sink to its Source. Exactly one pointer is
// set.
type UpstreamMessage struct {
	// Session identifies a session of the daemon. It is never reused and increases
	// within a connection.
	Session   uint64     `cbor:"1,keyasint"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Ack       *Ack       `cbor:"3,keyasint,omitempty"`
	Compare   *Compare   `cbor:"4,keyasint,omitempty"`
}

// DownstreamMessage is a message from a Source to a Sink. Exactly one pointer is
// set.
type DownstreamMessage struct {
	// Session is the session of the Subscribe message.
	Session uint64   `cbor:"1,keyasint"`
	Batch   *Batch   `cbor:"2,keyasint,omitempty"`
	Status  *Status  `cbor:"3,keyasint,omitempty"`
	Repair  *Repair  `cbor:"4,keyasint,omitempty"`
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
}

// Subscribe opens a session.
type Subscribe struct {
	// DaemonID identifies the daemon within the fleet.
	DaemonID string `cbor:"1,keyasint"`
	// Position is the position of the daemon's store.
	Position Position `cbor:"2,keyasint"`
	// Keys restricts the session to these keys. Empty means every key.
	Keys []string `cbor:"3,keyasint,omitempty"`
	// IsRelay is set by a relay, which sends a Summary with each Ack.
	IsRelay bool `cbor:"4,keyasint,omitempty"`
	// FullTransfer requests a full transfer after an interrupted one.
	FullTransfer bool `cbor:"5,keyasint,omitempty"`
}

// Ack acknowledges a batch, reports the applied position and may request a Status.
type Ack struct {
	// Received is the end of the latest batch stored.
	Received Position `cbor:"1,keyasint"`
	// Applied is the latest position up to which every change is applied.
	Applied Position `cbor:"2,keyasint"`
	// TransferID is the full transfer that Received belongs to.
	TransferID uint32 `cbor:"3,keyasint,omitempty"`
	// Nonce, if not 0, requests a Status with the same nonce.
	Nonce uint64 `cbor:"4,keyasint,omitempty"`
	// Summary reports the progress of the daemons behind a relay.
	Summary *RelaySummary `cbor:"5,keyasint,omitempty"`
	// NewerVersions lists items that are newer at the sender than at the Source.
	NewerVersions []KeyVersion `cbor:"6,keyasint,omitempty"`
}

// Compare requests a Repair after the digests of Sink and Source differed at a
// position.
type Compare struct {
	Position Position `cbor:"1,keyasint"`
	// BucketDigests holds the digest of each bucket of keys.
	BucketDigests []uint64 `cbor:"2,keyasint"`
}

// EpochStart is the number at which an epoch began. The first change of the epoch
// is Start+1. Changes of earlier epochs with numbers beyond Start are void.
type EpochStart struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Start uint64 `cbor:"2,keyasint"`
}

// Batch contains the changes between two positions, at most one per key.
type Batch struct {
	From    Position `cbor:"1,keyasint"`
	To      Position `cbor:"2,keyasint"`
	Changes []Change `cbor:"3,keyasint"`
	// HasMore is set if the state is incomplete until further batches follow.
	HasMore bool `cbor:"4,keyasint,omitempty"`
	// TransferID, if not 0, is the number of a full transfer within the session.
	// At its end, the receiver removes all keys that it did not contain.
	TransferID uint32 `cbor:"5,keyasint,omitempty"`
	// Epochs lists the latest epochs if the batch ends in a later epoch than it
	// begins.
	Epochs []EpochStart `cbor:"6,keyasint,omitempty"`
}

// Status is the response to an Ack with a nonce.
type Status struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// From and To bound a range without changes for the subscriber.
	From Position `cbor:"2,keyasint"`
	To   Position `cbor:"3,keyasint"`
	// Head is the complete position of the Source's store.
	Head Position `cbor:"4,keyasint"`
	// Confirmed is set if a quorum confirmed the root as the only one,
	// ConfirmationAge before this message. Head includes everything published
	// before the confirmation.
	Confirmed       bool          `cbor:"5,keyasint,omitempty"`
	ConfirmationAge time.Duration `cbor:"6,keyasint,omitempty"`
	// Digest is the digest of the subscriber's keys at position To.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// HasDigest is set if Digest is valid.
	HasDigest bool `cbor:"8,keyasint,omitempty"`
}

// Repair contains every item of some buckets at a position.
type Repair struct {
	Position Position `cbor:"1,keyasint"`
	Buckets  []uint16 `cbor:"2,keyasint"`
	Changes  []Change `cbor:"3,keyasint"`
}

// Refusal rejects a Subscribe. The daemon should try another relay, and this one
// not before RetryAfter.
type Refusal struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
}
