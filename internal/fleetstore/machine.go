package fleetstore

import (
	"sync"

	"fulmarmount.org/core/fleet"
)

// StateMachine is the state machine of a replica. It is safe for concurrent use.
type StateMachine struct {
	mu      sync.RWMutex
	fleet   *fleet.StateMachine
	changed chan struct{}
}

// NewStateMachine returns the state before the first command.
func NewStateMachine() *StateMachine {
	return &StateMachine{fleet: fleet.New(), changed: make(chan struct{})}
}

// Apply executes the encoded command at a log index and returns the encoded
// result. A command that does not decode is answered as invalid, equally on
// every replica.
func (m *StateMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := DecodeCommand(command)
	if err != nil {
		// The zero command is refused, and takes its index.
		c = fleet.Command{}
	}
	before := m.fleet.Revision()
	result := m.fleet.Apply(index, c)
	if m.fleet.Revision() != before {
		m.notify()
	}
	data, err := encode("result", result)
	if err != nil {
		// Results hold numbers and text alone, which always encode.
		panic(err)
	}
	return data
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	snapshot := m.fleet.Snapshot()
	m.mu.RUnlock()
	return encode("snapshot", snapshot)
}

// Restore replaces the state by an encoded one. On an error it stays as it was.
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
	m.fleet = restored
	m.notify()
	return nil
}

// Read calls read with the state, which read must not keep. What the state
// returns may be kept.
func (m *StateMachine) Read(read func(*fleet.StateMachine)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.fleet)
}

// Changed returns a channel that is closed at the next change.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// notify wakes the readers. The caller holds the lock.
func (m *StateMachine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
