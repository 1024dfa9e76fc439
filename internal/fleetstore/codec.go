// Package fleetstore runs the fleet's state machine under a replicated log:
// it encodes commands, results and snapshots as CBOR, and guards the state for
// concurrent readers.
package fleetstore

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/fleet"
)

var namespace = errorx.NewNamespace("fleetstore")

var (
	// ErrCodec is the type for bytes that do not decode.
	ErrCodec = namespace.NewType("codec")
	// ErrOutcomeUnknown is the type for commands whose result is unknown: they may
	// still take effect. A resend with the same request ID is safe.
	ErrOutcomeUnknown = namespace.NewType("propose", errorx.Temporary())
)

// maxItems bounds the items of a decoded array or map.
const maxItems = 1 << 20

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(c fleet.Command) ([]byte, error) { return encode("command", c) }

// DecodeCommand decodes an entry of the log.
func DecodeCommand(data []byte) (c fleet.Command, err error) { return c, decode("command", data, &c) }

// DecodeResult decodes what Machine.Apply returned.
func DecodeResult(data []byte) (r fleet.Result, err error) { return r, decode("result", data, &r) }

func decodeSnapshot(data []byte) (s fleet.Snapshot, err error) {
	return s, decode("snapshot", data, &s)
}

func encode(what string, value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, ErrCodec.Wrap(err, "cannot encode a %s", what)
	}
	return data, nil
}

func decode(what string, data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return ErrCodec.Wrap(err, "cannot decode a %s of %d bytes", what, len(data))
	}
	return nil
}
