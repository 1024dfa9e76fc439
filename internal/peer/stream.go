// Package peer connects the processes of a fleet by QUIC with mutual TLS. A
// connection carries streams; a stream starts with its kind and then carries
// CBOR messages, each behind its length, or raw bytes after a message.
package peer

import (
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
)

// Errors of peer connections.
var (
	Errors = errorx.NewNamespace("peer")

	// ListenFailed: the socket of a server could not be opened.
	ListenFailed = Errors.NewType("listen_failed")
	// DialFailed: no connection to the peer could be made.
	DialFailed = Errors.NewType("dial_failed")
	// BadMessage: a message is too long or can't be decoded.
	BadMessage = Errors.NewType("bad_message")
)

// Protocol is the name that both ends agree on in the TLS handshake.
const Protocol = "fulmarmount/1"

// MaxMessage is the largest message in bytes.
const MaxMessage = 4 << 20

const lengthSize = 4 // bytes of a message's length field

// decoding refuses what no sender of ours produces.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Stream is one stream between two processes. Send and Recv may be used by
// one goroutine each at the same time.
type Stream struct {
	*quic.Stream
	mu sync.Mutex
}

// Send writes one message.
func (s *Stream) Send(message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return BadMessage.Wrap(err, "encode %T", message)
	}
	if len(body) > MaxMessage {
		return BadMessage.New("%T of %d bytes is longer than %d", message, len(body), MaxMessage)
	}
	frame := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = s.Write(frame)
	return err
}

// Recv reads one message.
func (s *Stream) Recv(message any) error {
	var length [lengthSize]byte
	if _, err := io.ReadFull(s, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxMessage {
		return BadMessage.New("message of %d bytes is longer than %d", n, MaxMessage)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(s, body); err != nil {
		return err
	}
	if err := decoding.Unmarshal(body, message); err != nil {
		return BadMessage.Wrap(err, "decode %T", message)
	}
	return nil
}

// Abort ends both directions of the stream at once; the peer sees an error
// rather than an end.
func (s *Stream) Abort() {
	s.CancelRead(abortCode)
	s.CancelWrite(abortCode)
}

// opening is the first message of every stream.
type opening struct {
	Kind string `cbor:"1,keyasint"`
}

const (
	abortCode   quic.StreamErrorCode      = 1
	refusedCode quic.StreamErrorCode      = 2
	closedCode  quic.ApplicationErrorCode = 0

	// defaultSilence is how long nothing may arrive before a connection is
	// given up.
	defaultSilence = 4 * time.Second
	// heartbeats is how many keep-alive frames an idle connection sends within
	// the time of silence.
	heartbeats = 4
	// handshakeLimit bounds the making of a connection.
	handshakeLimit = 3 * time.Second
	// maxStreams bounds the streams a peer may hold open on one connection.
	maxStreams = 1 << 14
)

// transport returns the QUIC settings of both ends. A silence of zero stands
// for the default.
func transport(silence time.Duration) *quic.Config {
	if silence == 0 {
		silence = defaultSilence
	}
	return &quic.Config{
		KeepAlivePeriod:      silence / heartbeats,
		MaxIdleTimeout:       silence,
		HandshakeIdleTimeout: handshakeLimit,
		MaxIncomingStreams:   maxStreams,
	}
}
