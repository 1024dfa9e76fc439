// Package fleetstore runs the fleet's state machine on a replicated log. It encodes
// commands, results and snapshots as CBOR and synchronizes access to the state.
package fleetstore

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"fulmarmount.org/core/fleet"
)

var namespace = errorx.NewNamespace("fleetstore")

var (
	// ErrCodec reports a command, result or snapshot that cannot be encoded or decoded.
	ErrCodec = namespace.NewType("codec")
	// ErrOutcomeUnknown reports that a command's result is unknown: the command may
	// still take effect. A retry with the same request ID is safe.
	ErrOutcomeUnknown = namespace.NewType("propose", errorx.Temporary())
)

// maxContainerElements bounds the elements of a decoded array or map.
const maxContainerElements = 1 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxContainerElements,
		MaxMapPairs:      maxContainerElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(c fleet.Command) ([]byte, error) { return encode("command", c) }

// DecodeCommand decodes the command of a log entry.
func DecodeCommand(data []byte) (c fleet.Command, err error) { return c, decode("command", data, &c) }

// DecodeResult decodes a result of StateMachine.Apply.
func DecodeResult(data []byte) (r fleet.Result, err error) { return r, decode("result", data, &r) }

func decodeSnapshot(data []byte) (s fleet.Snapshot, err error) {
	return s, decode("snapshot", data, &s)
}

func encode(kind string, value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, ErrCodec.Wrap(err, "cannot encode a %s", kind)
	}
	return data, nil
}

func decode(kind string, data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return ErrCodec.Wrap(err, "cannot decode a %s of %d bytes", kind, len(data))
	}
	return nil
}
