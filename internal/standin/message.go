package standin

import (
	"encoding/binary"
)

// The fixed layout of a session datagram: session ID, sequence number, then
// the name of the server that answered (empty in a request), big endian.
const (
	sessionOffset  = 0
	sequenceOffset = 8
	nameOffset     = 16
)

// message is one datagram of a session.
type message struct {
	Session  uint64
	Sequence uint64
	Server   string
}

// append adds the wire form of m to b.
func (m message) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, m.Session)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	return append(b, m.Server...)
}

// parseMessage reads a datagram; ok is false if it is too short.
func parseMessage(b []byte) (m message, ok bool) {
	if len(b) < nameOffset {
		return message{}, false
	}
	return message{
		Session:  binary.BigEndian.Uint64(b[sessionOffset:]),
		Sequence: binary.BigEndian.Uint64(b[sequenceOffset:]),
		Server:   string(b[nameOffset:]),
	}, true
}
