package routing

// SetZoneEvacuated records whether operators have evacuated the agent's availability
// zone. While they have, it refuses new flows as if its backend server drained, whatever
// views balancers place by; open flows go on. It reports whether that has changed.
func (a *Agent) SetZoneEvacuated(evacuated bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.isZoneEvacuated != evacuated
	a.isZoneEvacuated = evacuated
	return changed
}

// IsZoneEvacuated reports whether operators have evacuated the agent's zone.
func (a *Agent) IsZoneEvacuated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isZoneEvacuated
}
