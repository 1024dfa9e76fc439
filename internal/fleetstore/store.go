package fleetstore

import (
	"context"
	"sync"

	"fulmarmount.org/core/fleet"
)

// Log is a replicated log whose entries are applied to a StateMachine.
type Log interface {
	// Propose appends the command and returns the result of StateMachine.Apply.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the local StateMachine has applied every command that was
	// acknowledged before the call.
	Barrier(ctx context.Context) error
}

// Store reads and modifies the replicated state of the fleet.
type Store struct {
	log     Log
	machine *StateMachine
}

// NewStore returns a Store on a log whose entries are applied to machine.
func NewStore(log Log, machine *StateMachine) *Store { return &Store{log: log, machine: machine} }

// Propose executes a command. After an error of type ErrOutcomeUnknown the result is
// unknown.
func (s *Store) Propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	data, err := EncodeCommand(c)
	if err != nil {
		return fleet.Result{}, err
	}
	result, err := s.log.Propose(ctx, data)
	if err != nil {
		return fleet.Result{}, ErrOutcomeUnknown.Wrap(err, "cannot tell whether command %s took effect", c.Kind)
	}
	return DecodeResult(result)
}

// Read calls read with a state that includes every acknowledged command.
func (s *Store) Read(ctx context.Context, read func(*fleet.StateMachine)) error {
	if err := s.log.Barrier(ctx); err != nil {
		return err
	}
	s.machine.Read(read)
	return nil
}

// Peek calls read with the local state, which may lag behind the log.
func (s *Store) Peek(read func(*fleet.StateMachine)) { s.machine.Read(read) }

// UpdateRegisteredAgents adds and removes registered agents. It returns the problems
// of agents that could not be registered.
func (s *Store) UpdateRegisteredAgents(ctx context.Context, c fleet.RegistrationChange) ([]fleet.Problem, error) {
	result, err := s.Propose(ctx, fleet.Command{Kind: fleet.KindRegistrations, Registrations: &c})
	return result.Problems, err
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} { return s.machine.Changed() }

// LocalLog is an in-memory Log of a single control process without a data folder, as
// in the default embedded setup. Its state is lost when the process exits.
type LocalLog struct {
	machine *StateMachine

	mu    sync.Mutex
	index uint64
}

// NewLocalLog returns a log whose entries are applied to machine.
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
