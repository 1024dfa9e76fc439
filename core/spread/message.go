package spread

import "time"

// Up is one message from a Sink to its Source. Exactly one pointer is set.
type Up struct {
	// Session tells the daemon's sessions apart. It is never reused, and grows
	// within a connection.
	Session   uint64     `cbor:"1,keyasint"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Ack       *Ack       `cbor:"3,keyasint,omitempty"`
	Compare   *Compare   `cbor:"4,keyasint,omitempty"`
}

// Down is one message from a Source to a Sink. Exactly one pointer is set.
type Down struct {
	// Session is that of the Subscribe.
	Session uint64   `cbor:"1,keyasint"`
	Batch   *Batch   `cbor:"2,keyasint,omitempty"`
	Status  *Status  `cbor:"3,keyasint,omitempty"`
	Repair  *Repair  `cbor:"4,keyasint,omitempty"`
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
}

// Subscribe opens a session.
type Subscribe struct {
	// ID names the daemon.
	ID string `cbor:"1,keyasint"`
	// Position is what the daemon holds already.
	Position Position `cbor:"2,keyasint"`
	// Keys restricts the session to some keys; empty means every key.
	Keys []string `cbor:"3,keyasint,omitempty"`
	// Relay is set by a relay, whose Ack carries a Summary.
	Relay bool `cbor:"4,keyasint,omitempty"`
	// Rebuild asks for the whole state, after such a transfer was cut.
	Rebuild bool `cbor:"5,keyasint,omitempty"`
}

// Ack tells what was received and what is in force, and asks for a Status.
type Ack struct {
	// Received is the end of the last batch taken.
	Received Position `cbor:"1,keyasint"`
	// InForce is the last position of which everything is in force.
	InForce Position `cbor:"2,keyasint"`
	// Transfer is the whole-state transfer that Received belongs to.
	Transfer uint32 `cbor:"3,keyasint,omitempty"`
	// Nonce asks for a Status; 0 asks for none.
	Nonce uint64 `cbor:"4,keyasint,omitempty"`
	// Summary covers the daemons behind a relay.
	Summary *Summary `cbor:"5,keyasint,omitempty"`
	// Ahead lists items that are newer here than at the Source.
	Ahead []KeyVersion `cbor:"6,keyasint,omitempty"`
}

// Compare asks for the differences at a position at which the digests of the
// state differ.
type Compare struct {
	Position Position `cbor:"1,keyasint"`
	// Buckets holds the digest of each bucket of keys.
	Buckets []uint64 `cbor:"2,keyasint"`
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
	// More is set while further batches are due before the state is complete.
	More bool `cbor:"4,keyasint,omitempty"`
	// Transfer, if not 0, numbers a whole-state transfer of the session: at
	// its end, keys that it did not contain are gone.
	Transfer uint32 `cbor:"5,keyasint,omitempty"`
	// Epochs lists the latest epochs, where the batch enters a new one.
	Epochs []EpochStart `cbor:"6,keyasint,omitempty"`
}

// Status answers an Ack with a nonce.
type Status struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// From and Through bound a range without changes for the subscriber.
	From    Position `cbor:"2,keyasint"`
	Through Position `cbor:"3,keyasint"`
	// Head is the position that the Source holds.
	Head Position `cbor:"4,keyasint"`
	// Confirmed is set if a quorum confirmed, Age ago, that the root was the
	// only one; Head includes everything published before that.
	Confirmed bool          `cbor:"5,keyasint,omitempty"`
	Age       time.Duration `cbor:"6,keyasint,omitempty"`
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
