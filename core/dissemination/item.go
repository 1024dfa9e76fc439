package dissemination

import (
	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("spread")

var (
	// ErrStaleVersion reports an item whose version is not newer than the stored
	// one.
	ErrStaleVersion = Errors.NewType("version")
	// ErrStaleEpoch reports an epoch that is not newer than the store's.
	ErrStaleEpoch = Errors.NewType("epoch")
	// ErrInvalidItem reports an item with an invalid key or body, or a deleted item
	// with a body.
	ErrInvalidItem = Errors.NewType("item")
)

// Size limits of an item.
const (
	MaxKeyBytes  = 256
	MaxBodyBytes = 1 << 20
)

// Position is a point in the root's sequence of changes: the root's epoch and
// the number of the latest change included. The zero Position includes no change.
type Position = view.Version

// Item is the state of one key at one version. Treat a published Body as
// read-only.
type Item struct {
	Key     string       `cbor:"1,keyasint"`
	Version view.Version `cbor:"2,keyasint"`
	Body    []byte       `cbor:"3,keyasint,omitempty"`
	// Deleted marks the key as deleted. Body is empty then.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Change is an Item with the number of the change that published it.
type Change struct {
	Number uint64 `cbor:"1,keyasint"`
	Item   Item   `cbor:"2,keyasint"`
}

// KeyVersion identifies one version of an item.
type KeyVersion struct {
	Key     string       `cbor:"1,keyasint"`
	Version view.Version `cbor:"2,keyasint"`
}

func (it *Item) validate() error {
	switch {
	case it.Key == "" || len(it.Key) > MaxKeyBytes:
		return ErrInvalidItem.New("key %.40q has %d bytes, want 1 to %d", it.Key, len(it.Key), MaxKeyBytes)
	case len(it.Body) > MaxBodyBytes:
		return ErrInvalidItem.New("body of key %q has %d bytes, at most %d allowed", it.Key, len(it.Body), MaxBodyBytes)
	case it.Deleted && len(it.Body) > 0:
		return ErrInvalidItem.New("deleted key %q has a body", it.Key)
	}
	return nil
}

// hash returns a hash of the key, the version and the body.
func (it *Item) hash() uint64 {
	h := mix(xxhash.Sum64String(it.Key), it.Version.Epoch)
	h = mix(h, it.Version.Number)
	return mix(h, xxhash.Sum64(it.Body))
}

// mix combines two hashes. The multipliers are those of xxHash64.
func mix(a, b uint64) uint64 {
	a ^= b * 0xc2b2ae3d27d4eb4f
	a = (a<<31 | a>>33) * 0x9e3779b185ebca87
	return a ^ a>>29
}

// changeOverhead is the estimated encoded size of a Change without its key and
// body, in bytes.
const changeOverhead = 24

func (it *Item) encodedSize() int { return len(it.Key) + len(it.Body) + changeOverhead }
