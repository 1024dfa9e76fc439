package packet

import (
	"github.com/joomcode/errorx"
)

// Session is what an Opener remembers of one sender, for a successor process.
type Session struct {
	Session uint64   `cbor:"1,keyasint"`
	Key     uint8    `cbor:"2,keyasint"`
	Newest  uint64   `cbor:"3,keyasint"`
	Bits    []uint64 `cbor:"4,keyasint"`
}

// Export returns the sessions that are remembered.
func (o *Opener) Export() []Session {
	var out []Session
	for i := range o.shards {
		out = o.shards[i].export(out)
	}
	return out
}

func (shard *sessionShard) export(out []Session) []Session {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for id, s := range shard.sessions {
		bits := append([]uint64(nil), s.window.bits[:]...)
		out = append(out, Session{Session: id.session, Key: id.key, Newest: s.window.newest, Bits: bits})
	}
	return out
}

// Import remembers the sessions of a predecessor, so that what it has received
// is refused here. A session whose key has left the ring is passed over.
func (o *Opener) Import(sessions []Session) error {
	now := o.now()
	for _, s := range sessions {
		id := sessionID{session: s.Session, key: s.Key}
		shard := &o.shards[id.session%sessionShards]
		aead, _, err := o.aead(shard, id)
		if errorx.IsOfType(err, ErrUnknownKey.Type()) {
			continue
		}
		if err != nil {
			return err
		}
		entry := &session{aead: aead, seen: now}
		entry.window.newest = s.Newest
		copy(entry.window.bits[:], s.Bits)
		shard.mu.Lock()
		shard.sessions[id] = entry
		shard.mu.Unlock()
	}
	return nil
}
