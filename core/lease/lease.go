// Package lease keeps the membership of services from the announcements of
// agents. A Registry takes announcements and ticks in and gives numbered views
// out; a Link finds connections that have gone silent between two processes.
package lease

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

var (
	errorsOfLease = errorx.NewNamespace("lease")

	// ErrReplayed is the type of errors about an announcement that is older
	// than, or as old as, one already taken.
	ErrReplayed = errorsOfLease.NewType("replayed")
	// ErrInvalid is the type of errors about an announcement that lacks a field.
	ErrInvalid = errorsOfLease.NewType("invalid")
	// ErrNotRegistered is the type of errors about a backend server not registered.
	ErrNotRegistered = errorsOfLease.NewType("unknown")
)

// Options configure a Registry. Zero values take defaults.
type Options struct {
	// LeaseDuration is how long an announcement holds.
	LeaseDuration time.Duration
	// Retention is how long a member whose lease has ended stays in the views as
	// gone, and how long views name earlier placements.
	Retention time.Duration
	// MaxPastPlacements is the number of earlier placements a view names at most.
	MaxPastPlacements int
	// WarmUpDuration is the time from the first new flows to full weight.
	WarmUpDuration time.Duration
	// WarmUpSteps is the number of weights passed on the way, each of them one
	// view change.
	WarmUpSteps int
	// MaxEjectedShare is the share of a service's members, from 0 to 1, that may be
	// kept from new flows against their own will at once: for ended leases,
	// failed health and flapping together.
	MaxEjectedShare float64
	// FlapWindow and FlapLimit say what flapping is: so many ended leases and
	// restarts in that time.
	FlapWindow time.Duration
	FlapLimit  int
	// HoldDownDuration is how long a flapping member gets no new flows after its last
	// restart.
	HoldDownDuration time.Duration
	// CollectionPeriod is how long the first views of an epoch wait for announcements;
	// zero stands for Lease.
	CollectionPeriod time.Duration
	// MinPublishInterval is the time between two views of one service at least.
	MinPublishInterval time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.LeaseDuration, 3*time.Second)
	setDefault(&o.CollectionPeriod, o.LeaseDuration)
	setDefault(&o.Retention, 30*time.Second)
	setDefault(&o.MaxPastPlacements, 8)
	setDefault(&o.WarmUpDuration, 20*time.Second)
	setDefault(&o.WarmUpSteps, 4)
	setDefault(&o.MaxEjectedShare, 0.5)
	setDefault(&o.FlapWindow, 2*time.Minute)
	setDefault(&o.FlapLimit, 4)
	setDefault(&o.HoldDownDuration, 30*time.Second)
	setDefault(&o.MinPublishInterval, 200*time.Millisecond)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// member is one registered backend server.
type member struct {
	id           string
	service      view.ServiceID
	announcement view.Announcement
	heard        time.Duration
	phase        view.State    // joining, warming, ready or gone
	since        time.Duration // of the phase
	joinedAt     view.Version  // of the first view with this run; zero before
	drained      bool          // by an operator
	replaced     bool          // another member has taken its address
	flaps        []time.Duration
	weight       uint32 // in the last view
	state        view.State
}

// draining reports whether the member is to leave.
func (m *member) draining() bool { return m.drained || m.announcement.Draining }

// takesPart reports whether the member would take new flows if it were healthy.
func (m *member) takesPart() bool {
	return !m.draining() && !m.replaced && (m.phase == view.Warming || m.phase == view.Ready)
}

func (m *member) flapped(now, window time.Duration) {
	m.flaps = slices.DeleteFunc(m.flaps, func(at time.Duration) bool { return now-at > window })
	m.flaps = append(m.flaps, now)
}

// heldDown reports whether the member gets no new flows because of flapping.
func (m *member) heldDown(now time.Duration, o *Options) bool {
	n := len(m.flaps)
	if n < o.FlapLimit || now-m.flaps[n-1] > o.HoldDownDuration {
		return false
	}
	return m.flaps[n-1]-m.flaps[n-o.FlapLimit] <= o.FlapWindow
}

// lapsed reports whether the member's lease has ended.
func (m *member) lapsed(now time.Duration, o *Options) bool { return now-m.heard > o.LeaseDuration }
