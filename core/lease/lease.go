// Package lease maintains the membership of services from the announcements of
// agents, each of which renews a lease. A Registry processes announcements and
// timer ticks and produces versioned views. A Link detects an unresponsive
// connection between two processes and replaces it.
package lease

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/view"
)

var (
	errorNamespace = errorx.NewNamespace("lease")

	// ErrReplayed reports an announcement that is not newer than the latest
	// accepted one of its backend server.
	ErrReplayed = errorNamespace.NewType("replayed")
	// ErrInvalid reports an announcement without a required field.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrNotMember reports an ID that belongs to no member.
	ErrNotMember = errorNamespace.NewType("unknown")
)

// Options configures a Registry. Zero values select the defaults.
type Options struct {
	// LeaseDuration is the time after which a lease expires without a further
	// announcement.
	LeaseDuration time.Duration
	// Retention is how long a member whose lease has expired remains in the views
	// in state gone, and how long superseded placements remain in the views.
	Retention time.Duration
	// MaxPastPlacements bounds the superseded placements in a view.
	MaxPastPlacements int
	// WarmUpDuration is the time from a member's first new flows to its full weight.
	WarmUpDuration time.Duration
	// WarmUpSteps is the number of intermediate weights during warm-up. Each takes
	// one view change.
	WarmUpSteps int
	// MaxEjectedShare bounds the fraction of a service's members, from 0 to 1, that
	// may be ejected at the same time. Members are ejected for expired leases,
	// failed health and flapping; draining members do not count.
	MaxEjectedShare float64
	// MaxUnfitShare bounds the fraction of a service's members that may be ejected at
	// the same time only because their agents announce that they answer no requests.
	// Such a backend server is alive and may be judged wrongly. Zero means that
	// MaxEjectedShare alone holds.
	MaxUnfitShare float64
	// FlapWindow and FlapLimit define flapping: FlapLimit expired leases and
	// restarts within FlapWindow.
	FlapWindow time.Duration
	FlapLimit  int
	// HoldDownDuration is how long a flapping member gets no new flows after its
	// last expired lease or restart.
	HoldDownDuration time.Duration
	// CollectionPeriod is how long the first views of an epoch wait for
	// announcements. Zero means LeaseDuration.
	CollectionPeriod time.Duration
	// MinPublishInterval is the minimum time between two views of one service.
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

// member is one backend server of a service.
type member struct {
	id                string
	service           view.ServiceID
	announcement      view.Announcement
	announcedAt       time.Duration
	phase             view.State // joining, warming, ready or gone
	phaseStart        time.Duration
	joinedAt          view.Version // first view that contains this incarnation; zero before it
	drainedByOperator bool
	inEvacuatedZone   bool // the zone of its latest announcement is evacuated
	addressReassigned bool // a newer member announced the same packet address
	flapTimes         []time.Duration
	publishedWeight   uint32 // weight in the latest view
	publishedState    view.State
	// wasListed is set if a view of an earlier epoch may have listed this incarnation.
	wasListed bool
	// startedWithAgent is set if the first announcement from the member's address in this
	// epoch said so, see view.Announcement.
	startedWithAgent bool
	// firstPlaced is the number of the first view of the epoch that placed flows on this
	// incarnation; 0 before it.
	firstPlaced uint64
	// firstAccepting and acceptingSince are as in view.BackendServer.
	firstAccepting, acceptingSince uint64
}

// isDraining reports whether an operator drains the member or evacuates its zone, or
// the backend server drains itself.
func (m *member) isDraining() bool {
	return m.drainedByOperator || m.inEvacuatedZone || m.announcement.Draining
}

// isEligible reports whether the member gets new flows unless it is ejected.
func (m *member) isEligible() bool {
	return !m.isDraining() && !m.addressReassigned && (m.phase == view.Warming || m.phase == view.Ready)
}

func (m *member) recordFlap(now, window time.Duration) {
	m.flapTimes = slices.DeleteFunc(m.flapTimes, func(at time.Duration) bool { return now-at > window })
	m.flapTimes = append(m.flapTimes, now)
}

// isHeldDown reports whether the member is held down for flapping.
func (m *member) isHeldDown(now time.Duration, o *Options) bool {
	n := len(m.flapTimes)
	if n < o.FlapLimit || now-m.flapTimes[n-1] > o.HoldDownDuration {
		return false
	}
	return m.flapTimes[n-1]-m.flapTimes[n-o.FlapLimit] <= o.FlapWindow
}

// isUnfitOnly reports whether the only reason to eject the member is that its agent
// announces it as unhealthy although the backend server is up.
func (m *member) isUnfitOnly(now time.Duration, o *Options) bool {
	a := &m.announcement
	isUp := m.phase != view.Gone && !a.BackendDown && !m.leaseExpired(now, o) && !m.isHeldDown(now, o)
	return isUp && a.BackendTracksFlows && !a.Healthy
}

// leaseExpired reports whether the member's lease has expired.
func (m *member) leaseExpired(now time.Duration, o *Options) bool {
	return now-m.announcedAt > o.LeaseDuration
}
