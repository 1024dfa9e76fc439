package fleetstore

import (
	"sync"

	"fulmarmount.org/core/fleet"
)

// StateMachine is a fleet.StateMachine with encoded commands, results and snapshots.
// It implements replica.StateMachine and is safe for concurrent use.
type StateMachine struct {
	mu      sync.RWMutex
	state   *fleet.StateMachine
	changed chan struct{}
}

// NewStateMachine returns a state machine in its initial state.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: fleet.New(), changed: make(chan struct{})}
}

// Apply executes the encoded command at a log index and returns the encoded
// result. A command that cannot be decoded yields an invalid result, identically on
// every replica.
func (m *StateMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := DecodeCommand(command)
	if err != nil {
		// The zero command is rejected as invalid and advances the index.
		c = fleet.Command{}
	}
	before := m.state.Revision()
	result := m.state.Apply(index, c)
	if m.state.Revision() != before {
		m.notifyChanged()
	}
	data, err := encode("result", result)
	if err != nil {
		// Unreachable: results contain numbers and text only, which always encode.
		panic(err)
	}
	return data
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	snapshot := m.state.Snapshot()
	m.mu.RUnlock()
	return encode("snapshot", snapshot)
}

// Restore replaces the state with an encoded one. On an error the state is unchanged.
func (m *StateMachine) Restore(data []byte) error {
	snapshot, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	restored, err := fleet.Restore(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.notifyChanged()
	return nil
}

// Read calls read with the state. Read must not retain the state, but may retain the
// values that its methods return.
func (m *StateMachine) Read(read func(*fleet.StateMachine)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// Changed returns a channel that is closed at the next change of the state.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// notifyChanged closes the channel that Changed returned. The caller must hold mu.
func (m *StateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}
