package packet

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of Opener.Open. The receiver counts each separately.
var (
	namespace = errorx.NewNamespace("packet")

	// ErrMalformed is returned for bytes that are not an envelope.
	ErrMalformed = namespace.NewType("malformed").New("datagram is not an envelope")
	// ErrUnknownKey is returned if the key ring lacks the envelope's key ID.
	ErrUnknownKey = namespace.NewType("unknown_key").New("envelope's key ID is not in the key ring")
	// ErrForged is returned if the authentication tag does not match.
	ErrForged = namespace.NewType("forged").New("envelope's authentication tag does not match")
	// ErrReplayed is returned for a sequence number that was already received or is
	// older than the replay window.
	ErrReplayed = namespace.NewType("replayed").New("envelope's sequence number was already received or is older than the replay window")
	// ErrTooManySessions is returned for a new session if the session table is full.
	ErrTooManySessions = namespace.NewType("sessions").New("envelope starts a new session while the session table is full")
)

// KeyRing provides the keys that envelopes are sealed with. A secret must not
// change while its ID is in use.
type KeyRing interface {
	// Active returns the key for sealing new envelopes.
	Active() (id uint8, secret []byte)
	// Secret returns the key with the given ID, or false if the ring lacks it.
	Secret(id uint8) ([]byte, bool)
}

// sessionAEAD derives the key of one sender's session. With a key per session,
// the sequence number alone makes the nonce unique.
func sessionAEAD(secret []byte, session uint64) (cipher.AEAD, error) {
	info := binary.BigEndian.AppendUint64([]byte("envelope session "), session)
	key, err := hkdf.Key(sha256.New, secret, nil, string(info), 16)
	if err != nil {
		return nil, errorx.Decorate(err, "derive key of session %x", session)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errorx.Decorate(err, "cipher of session %x", session)
	}
	return cipher.NewGCM(block)
}

// nonceSize is the length of a GCM nonce in bytes.
const nonceSize = 12

// Sealer seals the envelopes of one sending process. It is safe for concurrent
// use.
type Sealer struct {
	keyRing   KeyRing
	session   uint64
	sequence  atomic.Uint64
	activeKey atomic.Pointer[sessionKey]
	mu        sync.Mutex
}

type sessionKey struct {
	id   uint8
	aead cipher.AEAD
}

// NewSealer returns a Sealer for the given session, a random number that no
// other run of any process shares.
func NewSealer(keyRing KeyRing, session uint64) *Sealer {
	return &Sealer{keyRing: keyRing, session: session}
}

// Seal appends the sealed envelope with header h and payload to dst. It fails
// only if the ring's active key is unusable.
func (s *Sealer) Seal(dst []byte, h *Header, payload []byte) ([]byte, error) {
	key, err := s.currentKey()
	if err != nil {
		return nil, err
	}
	sequence := s.sequence.Add(1)
	start := len(dst)
	dst = h.append(dst, key.id, s.session, sequence)
	dst = append(dst, payload...)
	envelope := dst[start:]
	return key.aead.Seal(dst, nonce(envelope), nil, envelope), nil
}

// nonce returns the part of the header that serves as the nonce: the sequence
// number and the last bytes of the session before it. It is unique under the
// session's key. A slice of the datagram avoids an allocation.
func nonce(envelope []byte) []byte {
	const end = sequenceOffset + 8
	return envelope[end-nonceSize : end]
}

func (s *Sealer) currentKey() (*sessionKey, error) {
	id, secret := s.keyRing.Active()
	if k := s.activeKey.Load(); k != nil && k.id == id {
		return k, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.activeKey.Load(); k != nil && k.id == id {
		return k, nil
	}
	aead, err := sessionAEAD(secret, s.session)
	if err != nil {
		return nil, err
	}
	k := &sessionKey{id: id, aead: aead}
	s.activeKey.Store(k)
	return k, nil
}

const (
	sessionShards = 64
	// maxSessions bounds the sessions in one shard.
	maxSessions = 1024
	// sessionIdleTimeout is the minimum time that an idle session is kept.
	sessionIdleTimeout = time.Hour
)

// Opener authenticates and decodes envelopes. It is safe for concurrent use.
type Opener struct {
	keyRing KeyRing
	now     func() time.Time
	shards  [sessionShards]sessionShard
}

type sessionShard struct {
	mu       sync.Mutex
	sessions map[sessionID]*session
}

type sessionID struct {
	session uint64
	key     uint8
}

type session struct {
	aead         cipher.AEAD
	window       window
	lastReceived time.Time
}

// NewOpener returns an Opener with the given key ring and clock.
func NewOpener(keyRing KeyRing, now func() time.Time) *Opener {
	o := &Opener{keyRing: keyRing, now: now}
	for i := range o.shards {
		o.shards[i].sessions = make(map[sessionID]*session)
	}
	return o
}

// Open authenticates envelope b, decodes its header into h and returns the
// payload, which is a slice of b.
func (o *Opener) Open(b []byte, h *Header) ([]byte, error) {
	size := h.parse(b)
	if size == 0 || len(b) < size+TagSize {
		return nil, ErrMalformed
	}
	id := sessionID{session: binary.BigEndian.Uint64(b[sessionOffset:]), key: b[3]}
	sequence := binary.BigEndian.Uint64(b[sequenceOffset:])
	shard := &o.shards[id.session%sessionShards]
	aead, isKnown, err := o.aead(shard, id)
	if err != nil {
		return nil, err
	}
	end := len(b) - TagSize
	if _, err := aead.Open(nil, nonce(b), b[end:], b[:end]); err != nil {
		return nil, ErrForged
	}
	if err := o.accept(shard, id, aead, isKnown, sequence); err != nil {
		return nil, err
	}
	return b[size:end], nil
}

// aead returns the cipher of a session and whether the session is in the table.
// The cipher of a new session is derived.
func (o *Opener) aead(shard *sessionShard, id sessionID) (cipher.AEAD, bool, error) {
	shard.mu.Lock()
	s := shard.sessions[id]
	shard.mu.Unlock()
	secret, ok := o.keyRing.Secret(id.key)
	if !ok {
		return nil, false, ErrUnknownKey
	}
	if s != nil {
		return s.aead, true, nil
	}
	aead, err := sessionAEAD(secret, id.session)
	return aead, false, err
}

// accept records the sequence number of an authenticated envelope. It rejects a
// replayed number, and a new session if its shard is full.
func (o *Opener) accept(shard *sessionShard, id sessionID, aead cipher.AEAD, isKnown bool, sequence uint64) error {
	now := o.now()
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.sessions[id]
	if s == nil {
		if !isKnown && len(shard.sessions) >= maxSessions && !shard.evictIdle(now) {
			return ErrTooManySessions
		}
		s = &session{aead: aead}
		shard.sessions[id] = s
	}
	if !s.window.accept(sequence) {
		return ErrReplayed
	}
	s.lastReceived = now
	return nil
}

// evictIdle removes the sessions that have been idle for sessionIdleTimeout and
// reports whether it removed any.
func (shard *sessionShard) evictIdle(now time.Time) bool {
	before := len(shard.sessions)
	for id, s := range shard.sessions {
		if now.Sub(s.lastReceived) >= sessionIdleTimeout {
			delete(shard.sessions, id)
		}
	}
	return len(shard.sessions) < before
}
