package dissemination

import (
	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("spread")

var (
	// ErrStaleVersion is returned for an item whose version is not newer than the
	// one held.
	ErrStaleVersion = Errors.NewType("version")
	// ErrStaleEpoch is returned for an epoch that is not newer than the one held.
	ErrStaleEpoch = Errors.NewType("epoch")
	// ErrInvalidItem is returned for an item that cannot be disseminated.
	ErrInvalidItem = Errors.NewType("item")
)

// Limits of an item, in bytes.
const (
	MaxKeyBytes  = 256
	MaxBodyBytes = 1 << 20
)

// Position is a point in the root's sequence of changes: the root's epoch and
// the number of the latest change included. The zero Position holds nothing.
type Position = view.Version

// Item is the state of one key at one version. Treat a published Body as
// read-only.
type Item struct {
	Key     string       `cbor:"1,keyasint"`
	Version view.Version `cbor:"2,keyasint"`
	Body    []byte       `cbor:"3,keyasint,omitempty"`
	// Deleted marks a key that no longer exists; Body is empty.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Change is an Item with the number of the change that made it.
type Change struct {
	Number uint64 `cbor:"1,keyasint"`
	Item   Item   `cbor:"2,keyasint"`
}

// KeyVersion names one version of an item.
type KeyVersion struct {
	Key     string       `cbor:"1,keyasint"`
	Version view.Version `cbor:"2,keyasint"`
}

func (it *Item) check() error {
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

// hash covers the key, the version and the body.
func (it *Item) hash() uint64 {
	h := mix(xxhash.Sum64String(it.Key), it.Version.Epoch)
	h = mix(h, it.Version.Number)
	return mix(h, xxhash.Sum64(it.Body))
}

// mix folds b into a; the multipliers are those of xxHash64.
func mix(a, b uint64) uint64 {
	a ^= b * 0xc2b2ae3d27d4eb4f
	a = (a<<31 | a>>33) * 0x9e3779b185ebca87
	return a ^ a>>29
}

// changeOverhead estimates the encoded bytes of a Change beyond its key and
// body.
const changeOverhead = 24

func (it *Item) size() int { return len(it.Key) + len(it.Body) + changeOverhead }
