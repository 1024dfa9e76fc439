package lease

import "maps"

// SetEvacuatedZones replaces the set of availability zones that operators have
// evacuated: their members, present and later ones, are listed as draining. It reports
// whether the set has changed. Zones without members are allowed.
func (r *Registry) SetEvacuatedZones(zones []string) bool {
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, r.evacuated) {
		return false
	}
	r.evacuated = next
	for _, m := range r.members {
		if evacuated := next[m.announcement.Zone]; m.inEvacuatedZone != evacuated {
			m.inEvacuatedZone = evacuated
			r.services[m.service].dirty = true
		}
	}
	return true
}
