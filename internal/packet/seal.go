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

// Errors of envelopes. Each is counted apart by whoever opens envelopes.
var (
	namespace = errorx.NewNamespace("packet")

	// ErrMalformed: the bytes are not an envelope.
	ErrMalformed = namespace.NewType("malformed").New("datagram is not an envelope")
	// ErrUnknownKey: the key ID is not in the ring.
	ErrUnknownKey = namespace.NewType("unknown_key").New("envelope is sealed with a key that is not in the ring")
	// ErrForged: the tag does not match.
	ErrForged = namespace.NewType("forged").New("envelope tag does not match")
	// ErrReplayed: the sequence number was seen before or is too old.
	ErrReplayed = namespace.NewType("replayed").New("envelope sequence was already received")
	// ErrSessions: too many senders are remembered to take on another.
	ErrSessions = namespace.NewType("sessions").New("envelope opens one session too many")
)

// Keys is the key ring that envelopes are sealed with. A secret must not
// change while its ID is in use.
type Keys interface {
	// Active returns the key that new envelopes are sealed with.
	Active() (id uint8, secret []byte)
	// Secret returns the key with the given ID, or false.
	Secret(id uint8) ([]byte, bool)
}

// sessionAEAD derives the key of one sender's session, so that the sequence
// number alone makes a unique nonce.
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

// Sealer makes envelopes of one sending process. It is safe for concurrent use.
type Sealer struct {
	keys     Keys
	session  uint64
	sequence atomic.Uint64
	current  atomic.Pointer[sealKey]
	mu       sync.Mutex
}

type sealKey struct {
	id   uint8
	aead cipher.AEAD
}

// NewSealer returns a Sealer for the given session, a random number that no
// other run of any process shares.
func NewSealer(keys Keys, session uint64) *Sealer {
	return &Sealer{keys: keys, session: session}
}

// Seal appends the envelope of payload under h to dst. It fails only where the
// ring's active key is not usable.
func (s *Sealer) Seal(dst []byte, h *Header, payload []byte) ([]byte, error) {
	key, err := s.key()
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

// nonce returns the part of the header that the tag's nonce is: the sequence
// number and the bytes of the session before it. It is unique under the key of
// the session, and a part of the datagram needs no allocation.
func nonce(envelope []byte) []byte {
	const end = sequenceOffset + 8
	return envelope[end-nonceSize : end]
}

func (s *Sealer) key() (*sealKey, error) {
	id, secret := s.keys.Active()
	if k := s.current.Load(); k != nil && k.id == id {
		return k, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.current.Load(); k != nil && k.id == id {
		return k, nil
	}
	aead, err := sessionAEAD(secret, s.session)
	if err != nil {
		return nil, err
	}
	k := &sealKey{id: id, aead: aead}
	s.current.Store(k)
	return k, nil
}

const (
	sessionShards = 64
	// maxSessions bounds the senders that one shard remembers.
	maxSessions = 1024
	// sessionIdle is how long a silent sender is remembered at least.
	sessionIdle = time.Hour
)

// Opener checks and opens envelopes. It is safe for concurrent use.
type Opener struct {
	keys   Keys
	now    func() time.Time
	shards [sessionShards]sessionShard
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
	aead   cipher.AEAD
	window window
	seen   time.Time
}

// NewOpener returns an Opener on the given key ring and clock.
func NewOpener(keys Keys, now func() time.Time) *Opener {
	o := &Opener{keys: keys, now: now}
	for i := range o.shards {
		o.shards[i].sessions = make(map[sessionID]*session)
	}
	return o
}

// Open checks envelope b, fills h and returns the payload, which is a part of b.
func (o *Opener) Open(b []byte, h *Header) ([]byte, error) {
	size := h.parse(b)
	if size == 0 || len(b) < size+TagSize {
		return nil, ErrMalformed
	}
	id := sessionID{session: binary.BigEndian.Uint64(b[sessionOffset:]), key: b[3]}
	sequence := binary.BigEndian.Uint64(b[sequenceOffset:])
	shard := &o.shards[id.session%sessionShards]
	aead, known, err := o.aead(shard, id)
	if err != nil {
		return nil, err
	}
	end := len(b) - TagSize
	if _, err := aead.Open(nil, nonce(b), b[end:], b[:end]); err != nil {
		return nil, ErrForged
	}
	if err := o.accept(shard, id, aead, known, sequence); err != nil {
		return nil, err
	}
	return b[size:end], nil
}

// aead returns the cipher of a session, from memory where the session is known.
func (o *Opener) aead(shard *sessionShard, id sessionID) (cipher.AEAD, bool, error) {
	shard.mu.Lock()
	s := shard.sessions[id]
	shard.mu.Unlock()
	secret, ok := o.keys.Secret(id.key)
	if !ok {
		return nil, false, ErrUnknownKey
	}
	if s != nil {
		return s.aead, true, nil
	}
	aead, err := sessionAEAD(secret, id.session)
	return aead, false, err
}

// accept records the sequence number of an envelope whose tag matched.
func (o *Opener) accept(shard *sessionShard, id sessionID, aead cipher.AEAD, known bool, sequence uint64) error {
	now := o.now()
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.sessions[id]
	if s == nil {
		if !known && len(shard.sessions) >= maxSessions && !shard.evict(now) {
			return ErrSessions
		}
		s = &session{aead: aead}
		shard.sessions[id] = s
	}
	if !s.window.accept(sequence) {
		return ErrReplayed
	}
	s.seen = now
	return nil
}

// evict forgets the sessions that have been idle for sessionIdle and reports
// whether there were any.
func (shard *sessionShard) evict(now time.Time) bool {
	before := len(shard.sessions)
	for id, s := range shard.sessions {
		if now.Sub(s.seen) >= sessionIdle {
			delete(shard.sessions, id)
		}
	}
	return len(shard.sessions) < before
}
