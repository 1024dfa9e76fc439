package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testRegistry() *Registry {
	return NewRegistry(RegistryConfig{
		Incarnation: 1, Retention: time.Hour, MaxAttempts: 4, MaxFences: 2, MaxResponseBytes: 8, MaxTotalBytes: 10,
	})
}

func arrival(n uint64) Arrival {
	return Arrival{ID: testID(n), Incarnation: 1, Deadline: t0.Add(24 * time.Hour)}
}

func TestRegistryRunsAttemptAtMostOnce(t *testing.T) {
	settle := func(r *Registry, now time.Time, n uint64) State {
		st, _ := r.Settle(now, testID(n), 1)
		return st
	}
	later := t0.Add(2 * time.Hour)
	tests := []struct {
		name    string
		prepare func(r *Registry)
		in      func(a *Arrival)
		now     time.Time
		want    Verdict
		state   State
	}{
		{"first arrival", nil, nil, t0, VerdictRun, StateRunning},
		{"duplicate while running", func(r *Registry) { r.Begin(t0, arrival(1)) }, nil, t0, VerdictUnknown, StateRunning},
		{"duplicate after the end", func(r *Registry) { r.Begin(t0, arrival(1)); r.Complete(t0, testID(1), nil) }, nil, t0, VerdictUnknown, StateDone},
		{"after a failure midway", func(r *Registry) { r.Begin(t0, arrival(1)); r.Fail(t0, testID(1)) }, nil, t0, VerdictUnknown, StateUnknown},
		{"after it was settled", func(r *Registry) { settle(r, t0, 1) }, nil, t0, VerdictFenced, StateFenced},
		{"after it was fenced", func(r *Registry) { r.Begin(t0, arrival(1)); r.Fence(t0, testID(1)) }, nil, t0, VerdictFenced, StateFenced},
		{"after it was evicted", func(r *Registry) { r.Begin(t0, arrival(1)); r.Complete(t0, testID(1), nil) }, nil, later, VerdictUnknown, StateUnknown},
		{"after its fence was evicted", func(r *Registry) { settle(r, t0, 1); settle(r, t0, 2); settle(r, t0, 3) }, nil, t0, VerdictUnknown, StateUnknown},
		{"of an earlier run of the gateway", func(r *Registry) {
			r.Begin(t0, Arrival{ID: ID{Gateway: "g", Run: 2, Sequence: 1}, Incarnation: 1, Deadline: later})
			r.Complete(t0, ID{Gateway: "g", Run: 2, Sequence: 1}, nil)
		}, nil, later, VerdictUnknown, StateUnknown},
		{"for another incarnation", nil, func(a *Arrival) { a.Incarnation = 9 }, t0, VerdictUnknown, StateFenced},
		{"after its deadline", nil, func(a *Arrival) { a.Deadline = t0 }, t0, VerdictFenced, StateFenced},
		{"key that runs already", func(r *Registry) {
			a := arrival(5)
			a.Key = "k"
			r.Begin(t0, a)
		}, func(a *Arrival) { a.Key = "k" }, t0, VerdictFenced, StateFenced},
		{"registry full", func(r *Registry) {
			for n := uint64(2); n < 6; n++ {
				r.Begin(t0, arrival(n))
			}
		}, nil, t0, VerdictFull, StateFenced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := testRegistry()
			if tt.prepare != nil {
				tt.prepare(r)
			}
			a := arrival(1)
			if tt.in != nil {
				tt.in(&a)
			}
			is.Equal(r.Begin(tt.now, a), tt.want)
			is.Equal(settle(r, tt.now, 1), tt.state)
		})
	}
}

func TestSettleOfOtherIncarnationIsUnknown(t *testing.T) {
	is := is.New(t)
	r := testRegistry()
	st, _ := r.Settle(t0, testID(1), 2)
	is.Equal(st, StateUnknown)
	is.Equal(r.Len(), 0)
}

func TestRegistryBoundsResponseBytes(t *testing.T) {
	is := is.New(t)
	r := testRegistry()
	for n, size := range []int{6, 9, 6} {
		id := testID(uint64(n))
		r.Begin(t0, arrival(uint64(n)))
		r.Complete(t0, id, &Response{Body: make([]byte, size)})
		is.True(r.ResponseBytes() <= 10)
	}
	for n, hasResponse := range []bool{false, false, true} { // evicted, too large, stored
		st, response := r.Settle(t0, testID(uint64(n)), 1)
		is.Equal(st, StateDone)
		is.Equal(response != nil, hasResponse)
	}
	r.Expire(t0.Add(2 * time.Hour))
	is.Equal(r.Len(), 0)
	is.Equal(r.ResponseBytes(), 0)
}
