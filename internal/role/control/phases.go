package control

// The phase of a control process's start.
const phaseLeaderKnown = "leader_known" // this process or another one leads

// The phases of a term, counted from the moment when this process came to lead.
const (
	phaseConfigurationRead = "configuration_read" // a majority has confirmed it as current
	phaseFirstViews        = "first_views"        // callers can be served
	phaseAllAnnounced      = "all_announced"      // no view lacks members that may own flows
)

// endLeaderPhase records that a leader is known. The caller holds the lock.
func (c *Control) endLeaderPhase() {
	if c.term != nil || c.leader.IsValid() {
		c.phases.End(phaseLeaderKnown)
	}
}

// endViewPhases records which views are published. The caller holds the lock.
func (c *term) endViewPhases() {
	if c.registry.Stats().PublishedViews == 0 {
		return
	}
	c.phases.End(phaseFirstViews)
	if c.registry.ViewsComplete(c.elapsed()) {
		c.phases.End(phaseAllAnnounced)
	}
}
