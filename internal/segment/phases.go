package segment

import (
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/phases"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// The phases of a balancer's start.
const (
	phaseConfirmed     = "configuration_confirmed" // control has confirmed the configuration as current
	phaseFirstView     = "first_view"
	phaseCompleteViews = "complete_views" // no view lacks members that may own flows
	phaseFirstLoad     = "first_load"     // an agent has reported its load
	phaseFirstPlaced   = "first_placed"   // a new flow was forwarded
	phaseFirstOwned    = "first_owned"    // a backend server has answered a new flow
	phaseFirstReset    = "first_reset"    // a caller was told that its flow is lost
)

// The phases of an agent's start.
const (
	phaseBackendReported = "backend_reported"
	phaseConfigured      = "configuration_adopted"
	phaseAnnounced       = "announced" // control has accepted an announcement
	phaseFirstSegment    = "first_delivered"
	phaseFirstReply      = "first_replied"
)

func newBalancerPhases(o CommonOptions) *phases.Tracker {
	return phases.New(o.Now, o.Log, phaseConfirmed, phaseFirstView, phaseCompleteViews, phaseFirstLoad, phaseFirstPlaced, phaseFirstOwned, phaseFirstReset)
}

func newAgentPhases(o CommonOptions) *phases.Tracker {
	return phases.New(o.Now, o.Log, phaseBackendReported, phaseConfigured, phaseAnnounced, phaseFirstSegment, phaseFirstReply)
}

// endViewPhases records the phases that an update has ended.
func (b *Balancer) endViewPhases(u proto.Update, t *routing.Table) {
	if len(u.Views) == 0 {
		return
	}
	b.phases.End(phaseFirstView)
	if t.HasCompleteViews() {
		b.phases.End(phaseCompleteViews)
	}
}

// endDecisionPhases records the phases that a decision has ended.
func (b *Balancer) endDecisionPhases(d routing.Decision) {
	switch {
	case d.Reason == routing.ReasonPlaced:
		b.phases.End(phaseFirstPlaced)
	case d.Verdict == routing.Reset && d.Reason == routing.ReasonFlowNotFound:
		b.phases.End(phaseFirstReset)
	}
}
