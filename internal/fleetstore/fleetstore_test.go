package fleetstore

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"fulmarmount.org/core/fleet"
)

func applyCommand(id string, expected uint64) fleet.Command {
	return fleet.Command{
		Kind: fleet.KindApply, RequestID: id, Author: "jiwoo", ExpectedVersion: expected,
		ProposedAt: time.Date(2026, 3, 1, 9, 0, 0, 5, time.FixedZone("KST", 9*3600)),
		Document: &fleet.Document{
			Defaults: fleet.DefaultSettings(),
			Services: []fleet.Service{{
				Name: "order-desk", Mode: fleet.ModeRequest, Share: 400_000,
				Addresses:        []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:443"), netip.MustParseAddrPort("[2001:db8::1]:443")},
				Classes:          []fleet.Class{{Name: "amendment", LeastUrgent: 1, Share: 500_000}},
				RepeatableRoutes: []fleet.Route{{Method: "GET", Prefix: "/"}},
			}},
			Exceptions: []fleet.Exception{{
				Name: "a", Scope: fleet.ScopeZone, Target: "sejong-a", Key: "weight", Value: "40",
				Reason: "its uplink is under repair", ExpiresAt: time.Unix(1_800_000_000, 0),
			}},
		},
	}
}

func TestStateSurvivesEncodingAndRestore(t *testing.T) {
	is := is.New(t)
	ctx, machine := context.Background(), NewStateMachine()
	store := NewStore(NewLocalLog(machine), machine)
	changed := machine.Changed()
	first, err := store.Propose(ctx, applyCommand("a", 0))
	is.NoErr(err)
	is.Equal(first, fleet.Result{Outcome: fleet.OutcomeAccepted, Version: 1, Revision: 1})
	<-changed

	snapshot, err := machine.Snapshot()
	is.NoErr(err)
	restored := NewStateMachine()
	is.NoErr(restored.Restore(snapshot))
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.True(bytes.Equal(snapshot, again))
	is.NoErr(store.Read(ctx, func(m *fleet.StateMachine) {
		restored.Read(func(r *fleet.StateMachine) {
			is.Equal(m.Document(), r.Document())
			is.Equal(m.History(), r.History())
		})
	}))
	data, err := EncodeCommand(applyCommand("a", 0))
	is.NoErr(err)
	resend, err := DecodeResult(restored.Apply(2, data))
	is.NoErr(err)
	is.Equal(resend, first)
}

func TestUndecodableCommandAdvancesIndexAndIsInvalid(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine()
	result, err := DecodeResult(m.Apply(7, []byte{0xff, 0x00}))
	is.NoErr(err)
	is.Equal(result.Outcome, fleet.OutcomeInvalid)
	m.Read(func(f *fleet.StateMachine) { is.Equal(f.Index(), uint64(7)) })
	is.True(m.Restore([]byte("torn")) != nil)
	m.Read(func(f *fleet.StateMachine) { is.Equal(f.Index(), uint64(7)) })
}

// failingLog fails every proposal.
type failingLog struct{ LocalLog }

func (*failingLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("no leader")
}

func TestFailedProposeHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	_, err := NewStore(&failingLog{}, NewStateMachine()).Propose(context.Background(), applyCommand("a", 0))
	is.True(errorx.IsOfType(err, ErrOutcomeUnknown))
	is.True(errorx.IsTemporary(err))
}

func FuzzDecoders(f *testing.F) {
	machine := NewStateMachine()
	data, _ := EncodeCommand(applyCommand("a", 0))
	machine.Apply(1, data)
	snapshot, _ := machine.Snapshot()
	f.Add(data)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewStateMachine()
		if _, err := DecodeResult(m.Apply(1, data)); err != nil {
			t.Fatalf("result does not decode: %v", err)
		}
		if m.Restore(data) != nil {
			return
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatalf("restored state does not encode: %v", err)
		}
		c, _ := EncodeCommand(applyCommand("b", 0))
		m.Apply(1<<62, c)
	})
}
