package packet

import (
	"github.com/joomcode/errorx"
)

// SessionState is the replay state of one sender's session, for the handover to
// a successor process.
type SessionState struct {
	ID              uint64   `cbor:"1,keyasint"`
	KeyID           uint8    `cbor:"2,keyasint"`
	HighestSequence uint64   `cbor:"3,keyasint"`
	WindowBits      []uint64 `cbor:"4,keyasint"`
}

// Export returns the state of all sessions.
func (o *Opener) Export() []SessionState {
	var out []SessionState
	for i := range o.shards {
		out = o.shards[i].export(out)
	}
	return out
}

func (shard *sessionShard) export(out []SessionState) []SessionState {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for id, s := range shard.sessions {
		bits := append([]uint64(nil), s.window.bits[:]...)
		out = append(out, SessionState{ID: id.session, KeyID: id.key, HighestSequence: s.window.highest, WindowBits: bits})
	}
	return out
}

// Import adds the sessions of a predecessor process, so that envelopes that it
// has received are rejected as replayed. Sessions whose key is no longer in the
// ring are skipped.
func (o *Opener) Import(sessions []SessionState) error {
	now := o.now()
	for _, s := range sessions {
		id := sessionID{session: s.ID, key: s.KeyID}
		shard := &o.shards[id.session%sessionShards]
		aead, _, err := o.aead(shard, id)
		if errorx.IsOfType(err, ErrUnknownKey.Type()) {
			continue
		}
		if err != nil {
			return err
		}
		entry := &session{aead: aead, lastReceived: now}
		entry.window.highest = s.HighestSequence
		copy(entry.window.bits[:], s.WindowBits)
		shard.mu.Lock()
		shard.sessions[id] = entry
		shard.mu.Unlock()
	}
	return nil
}
