package fleet

import (
	"slices"
	"time"
)

// PreviousService is a service to which a listener has assigned flows. Flows end within
// their longest lifetime, so a listener keeps every one for flowRetention, however many
// there are.
type PreviousService struct {
	Service string `cbor:"1,keyasint" json:"service"`
	// AssignedUntil is the time of the import that ended the assignment, by its proposer's
	// clock. The zero time means that it is not known.
	AssignedUntil time.Time `cbor:"2,keyasint" json:"until"`
}

// flowRetention is how long flows may be open at a service after the change that led its
// last listener elsewhere. It exceeds the longest lifetime of a flow by far, as it is
// measured by the clocks of several proposers.
const flowRetention = 10 * time.Minute

// End returns the time after which no flow of the assignment is open. It returns the zero
// time if that is not known.
func (p *PreviousService) End() time.Time {
	if p.AssignedUntil.IsZero() {
		return time.Time{}
	}
	return p.AssignedUntil.Add(flowRetention)
}

// IsOver reports whether no flow of the assignment is open at time now.
func (p *PreviousService) IsOver(now time.Time) bool {
	end := p.End()
	return !end.IsZero() && !now.Before(end)
}

// normalizePrevious moves the names in the state of earlier releases to PreviousServices.
// It writes only what differs, since documents share listeners that readers use.
func (l *Listener) normalizePrevious() {
	for _, name := range l.FormerNames {
		l.PreviousServices = append(l.PreviousServices, PreviousService{Service: name})
	}
	if l.FormerNames != nil {
		l.FormerNames = nil
	}
	for i := range l.PreviousServices {
		p := &l.PreviousServices[i]
		if at := truncateToSeconds(p.AssignedUntil); at != p.AssignedUntil {
			p.AssignedUntil = at
		}
	}
}

// recordPreviousServices sets the PreviousServices of the listeners in next from the
// listeners in previous, at time now. The listeners of both are sorted by address.
func recordPreviousServices(previous, next *Document, now time.Time) {
	listeners := previous.Listeners
	for i := range next.Listeners {
		l := &next.Listeners[i]
		for len(listeners) > 0 && listeners[0].Address.Compare(l.Address) < 0 {
			listeners = listeners[1:]
		}
		l.PreviousServices = nil
		if len(listeners) > 0 && listeners[0].Address == l.Address {
			l.PreviousServices = previousServices(&listeners[0], l, now, func(name string) bool {
				_, ok := previous.asRetired(name, now)
				return ok || next.Service(name) != nil
			})
		}
	}
}

// previousServices returns the services that listener previous has, or had earlier, that
// listener next has not, and that may still have flows.
func previousServices(previous, next *Listener, now time.Time, exists func(name string) bool) []PreviousService {
	all := make([]PreviousService, 0, len(previous.WeightedServices)+len(previous.PreviousServices))
	for _, w := range previous.WeightedServices {
		all = append(all, PreviousService{Service: w.Service, AssignedUntil: now})
	}
	for _, p := range previous.PreviousServices {
		if p.AssignedUntil.IsZero() {
			p.AssignedUntil = now
		}
		all = append(all, p)
	}
	return nilIfEmpty(slices.DeleteFunc(all, func(p PreviousService) bool {
		isCurrent := func(w WeightedService) bool { return w.Service == p.Service }
		return p.IsOver(now) || !exists(p.Service) || slices.ContainsFunc(next.WeightedServices, isCurrent)
	}))
}
