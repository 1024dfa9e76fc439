package keys

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// SecretSize is the length of a packet key's secret, in bytes.
const SecretSize = 32

// ringSize is the number of keys that a rotation keeps: the one in use, the
// next one and the two before, for packets and processes that lag.
const ringSize = 4

// Secret authenticates packets. It never shows in text.
type Secret [SecretSize]byte

// Format hides the secret under every verb.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, hiddenSecret) }

// MarshalText hides the secret from dumps and logs.
func (Secret) MarshalText() ([]byte, error) { return []byte(hiddenSecret), nil }

const hiddenSecret = "hidden"

// PacketKey is one key of a ring.
type PacketKey struct {
	// ID names the key on the wire; IDs grow.
	ID     uint32
	Secret Secret
	// NotBefore is when senders start to use the key. Receivers accept it
	// as soon as they have it.
	NotBefore time.Time
}

// Ring holds the packet keys of a fleet. It is safe for concurrent use.
type Ring struct {
	path string
	keys atomic.Pointer[[]PacketKey] // by growing ID
}

// NewRing returns a ring without keys.
func NewRing() *Ring {
	r := &Ring{}
	r.keys.Store(&[]PacketKey{})
	return r
}

// LoadRing reads a ring from a file.
func LoadRing(path string) (*Ring, error) {
	r := NewRing()
	r.path = path
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the ring's file again. On an error the ring stays as it was.
func (r *Ring) Reload() error {
	data, err := os.ReadFile(r.path)
	if err != nil {
		return ErrFile.Wrap(err, "cannot read %q", r.path)
	}
	list, err := decodeRing(data)
	if err != nil {
		return ErrMalformed.Wrap(err, "file %q holds no packet keys", r.path)
	}
	r.keys.Store(&list)
	return nil
}

// Active returns the key that senders use at now: the newest whose time has
// come. It is false where there is none.
func (r *Ring) Active(now time.Time) (PacketKey, bool) {
	list := *r.keys.Load()
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].NotBefore.After(now) {
			return list[i], true
		}
	}
	return PacketKey{}, false
}

// Get returns the key with the given ID, for receivers.
func (r *Ring) Get(id uint32) (PacketKey, bool) {
	for _, k := range *r.keys.Load() {
		if k.ID == id {
			return k, true
		}
	}
	return PacketKey{}, false
}

// Keys returns every key, oldest first.
func (r *Ring) Keys() []PacketKey {
	return append([]PacketKey(nil), *r.keys.Load()...)
}

// Rotate adds a key to the ring file at path. Senders use it after lead, which
// leaves time to copy the file to every VM. The oldest keys fall out.
func Rotate(path string, now time.Time, lead time.Duration) (PacketKey, error) {
	r, err := LoadRing(path)
	if err != nil {
		return PacketKey{}, err
	}
	if err := r.rotate(now, lead); err != nil {
		return PacketKey{}, err
	}
	if err := r.save(path); err != nil {
		return PacketKey{}, err
	}
	list := r.Keys()
	return list[len(list)-1], nil
}

func (r *Ring) rotate(now time.Time, lead time.Duration) error {
	list := r.Keys()
	next := PacketKey{ID: 1, NotBefore: now.Add(lead).UTC().Truncate(time.Second)}
	if len(list) > 0 {
		last := list[len(list)-1]
		if last.NotBefore.After(now) {
			return ErrExists.New("packet key %d is not in use yet, until %s", last.ID, last.NotBefore.Format(time.RFC3339))
		}
		next.ID = last.ID + 1
	}
	if _, err := rand.Read(next.Secret[:]); err != nil {
		return ErrMalformed.Wrap(err, "cannot make packet key %d", next.ID)
	}
	list = append(list, next)
	if len(list) > ringSize {
		list = list[len(list)-ringSize:]
	}
	r.keys.Store(&list)
	return nil
}

// ringFile and ringEntry are the file format, in JSON.
type ringFile struct {
	Keys []ringEntry `json:"keys"`
}

type ringEntry struct {
	ID        uint32    `json:"id"`
	Secret    []byte    `json:"secret"`
	NotBefore time.Time `json:"not_before"`
}

func (r *Ring) save(path string) error {
	var file ringFile
	for _, k := range r.Keys() {
		file.Keys = append(file.Keys, ringEntry{ID: k.ID, Secret: k.Secret[:], NotBefore: k.NotBefore})
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return ErrMalformed.Wrap(err, "cannot encode packet keys")
	}
	return writeFile(path, append(data, '\n'), secretMode)
}

func decodeRing(data []byte) ([]PacketKey, error) {
	var file ringFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, ErrMalformed.Wrap(err, "not JSON")
	}
	if len(file.Keys) == 0 {
		return nil, ErrMalformed.New("no keys")
	}
	list := make([]PacketKey, len(file.Keys))
	for i, entry := range file.Keys {
		if len(entry.Secret) != SecretSize {
			return nil, ErrMalformed.New("secret of key %d has %d bytes, not %d", entry.ID, len(entry.Secret), SecretSize)
		}
		if i > 0 && entry.ID <= list[i-1].ID {
			return nil, ErrMalformed.New("key %d stands after key %d", entry.ID, list[i-1].ID)
		}
		list[i] = PacketKey{ID: entry.ID, Secret: Secret(entry.Secret), NotBefore: entry.NotBefore}
	}
	return list, nil
}
