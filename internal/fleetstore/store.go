package fleetstore

import (
	"context"
	"sync"

	"fulmarmount.org/core/fleet"
)

// Log is a replicated log that applies entries to a Machine.
type Log interface {
	// Propose appends the command and returns what Machine.Apply answered.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the local Machine has every command that was
	// acknowledged before the call.
	Barrier(ctx context.Context) error
}

// Store gives operators the replicated state.
type Store struct {
	log     Log
	machine *StateMachine
}

// NewStore returns a store over a log that applies to machine.
func NewStore(log Log, machine *StateMachine) *Store { return &Store{log: log, machine: machine} }

// Propose runs a command. An error of type ErrPropose leaves its result
// unknown.
func (s *Store) Propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	data, err := EncodeCommand(c)
	if err != nil {
		return fleet.Result{}, err
	}
	answer, err := s.log.Propose(ctx, data)
	if err != nil {
		return fleet.Result{}, ErrOutcomeUnknown.Wrap(err, "cannot tell whether command %s took effect", c.Kind)
	}
	return DecodeResult(answer)
}

// Read calls read with a state that holds every acknowledged command.
func (s *Store) Read(ctx context.Context, read func(*fleet.StateMachine)) error {
	if err := s.log.Barrier(ctx); err != nil {
		return err
	}
	s.machine.Read(read)
	return nil
}

// Peek calls read with the state as this process has it, which may lag.
func (s *Store) Peek(read func(*fleet.StateMachine)) { s.machine.Read(read) }

// UpdateRegisteredAgents notes which agents there are.
func (s *Store) UpdateRegisteredAgents(ctx context.Context, c fleet.RegistrationChange) error {
	_, err := s.Propose(ctx, fleet.Command{Kind: fleet.KindRegistrations, Registrations: &c})
	return err
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} { return s.machine.Changed() }

// LocalLog is a log of one process, in memory alone: for the embedded default,
// whose state ends with its process.
type LocalLog struct {
	machine *StateMachine

	mu    sync.Mutex
	index uint64
}

// NewLocalLog returns a log that applies to machine.
func NewLocalLog(machine *StateMachine) *LocalLog { return &LocalLog{machine: machine} }

// Propose implements Log.
func (l *LocalLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// Barrier implements Log.
func (l *LocalLog) Barrier(ctx context.Context) error { return ctx.Err() }
