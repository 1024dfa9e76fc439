package agent

import (
	"net/netip"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/packet"
	"fulmarmount.org/fulmarmount/internal/proto"
)

const (
	// maxStateAge is the maximum age of a predecessor's state. Other agents skip an
	// agent that has been unresponsive for longer, and may become owners of its
	// flows.
	maxStateAge = time.Second
	// stateFileMode makes the state file accessible only to its user.
	stateFileMode = 0o600
)

// handoverState is the state that a stopping agent saves for the next process on
// its VM, which continues the same incarnation: its flows with their sockets, the
// promises about other flows, and the active configuration and view.
type handoverState struct {
	// At is when the state was saved. Builds that encoded whole seconds cut off
	// the rest.
	At          time.Time             `cbor:"1,keyasint"`
	ID          string                `cbor:"2,keyasint"`
	Incarnation view.Incarnation      `cbor:"3,keyasint"`
	Sequence    uint64                `cbor:"4,keyasint"`
	Services    []proto.Service       `cbor:"5,keyasint"`
	View        *view.View            `cbor:"6,keyasint"`
	Entries     []flow.Record         `cbor:"7,keyasint"`
	Sockets     []flowSocketState     `cbor:"8,keyasint"`
	Sessions    []packet.SessionState `cbor:"9,keyasint"`
}

// flowSocketState is the socket of an owned flow. The successor binds the same
// local address, so the backend server sees no change.
type flowSocketState struct {
	Caller  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	Local   netip.AddrPort `cbor:"3,keyasint"`
	ReplyTo netip.AddrPort `cbor:"4,keyasint"`
	Seen    int64          `cbor:"5,keyasint"` // Unix time in nanoseconds
}

// loadHandoverState reads and removes the state file of a predecessor. It returns
// nil if there is no usable state.
func loadHandoverState(o Options) *handoverState {
	if o.HandoverPath == "" {
		return nil
	}
	data, err := os.ReadFile(o.HandoverPath)
	if os.IsNotExist(err) {
		return nil
	}
	if removeErr := os.Remove(o.HandoverPath); err == nil {
		err = removeErr // a state file that remains could be restored twice
	}
	s := &handoverState{}
	if err == nil {
		err = cbor.Unmarshal(data, s) // a time as text or as whole seconds
	}
	if err == nil {
		err = s.validate(o)
	}
	if err != nil {
		o.Log.Warn("Cannot use the predecessor's handover state; starting a new incarnation without its flows.", zap.Error(err))
		return nil
	}
	return s
}

// validate returns an error if the state is of another backend server or may be
// older than maxStateAge.
func (s *handoverState) validate(o Options) error {
	age := o.Now().Sub(s.savedNotBefore())
	switch {
	case s.ID != o.ID:
		return errHandoverState.New("handover state is of backend server %q, want %q", s.ID, o.ID)
	case age < 0 || age > maxStateAge:
		return errHandoverState.New("handover state may be %s old, want 0 to %s", age, maxStateAge)
	case s.View == nil:
		return errHandoverState.New("handover state contains no view")
	}
	return nil
}

// savedNotBefore returns the latest time before which the state was certainly not
// saved. Where At has only whole seconds, that is when the last packet was received
// in that second, if there was one.
func (s *handoverState) savedNotBefore() time.Time {
	if s.At.Nanosecond() != 0 {
		return s.At
	}
	latest := s.At
	end := s.At.Add(time.Second)
	for _, socket := range s.Sockets {
		seen := time.Unix(0, socket.Seen)
		if seen.After(latest) && seen.Before(end) {
			latest = seen
		}
	}
	return latest
}

// encode returns the state as saved, with its time in nanoseconds.
func (s *handoverState) encode() ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(s)
}
