package segment

import (
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/core/routing"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// routes returns the addresses of all services of mode segment.
func (b *Balancer) routes() routing.Routes {
	routes := make(routing.Routes)
	for _, s := range b.services {
		for _, in := range s.Inbound {
			route := routes[in.Addr]
			route.Services = insertByService(route.Services, routing.WeightedService{
				Service: s.ID, Weight: in.Weight, Contention: contentionOf(&s.Settings),
			})
			if in.Weight > 0 {
				route.Listener = listenerOf(&in)
			}
			routes[in.Addr] = route
		}
	}
	return routes
}

// listenerOf returns what in tells of its listener. Every service of positive weight
// behind a listener is told the same.
func listenerOf(in *proto.Inbound) routing.Listener {
	return routing.Listener{Timeout: in.Timeout, Objective: in.Objective, Urgency: in.Urgency, Idempotent: in.Idempotent}
}

// contentionOf returns the settings for the time in which room is short.
func contentionOf(s *fleet.Settings) routing.Contention {
	return routing.Contention{WaitLimit: s.WaitLimitPercent, ReservedShare: s.ReservedSharePercent, CallerShare: s.CallerSharePercent}
}

// insertByService inserts p in the order of service IDs, so that all balancers make
// the same choice.
func insertByService(list []routing.WeightedService, p routing.WeightedService) []routing.WeightedService {
	i := len(list)
	for i > 0 && list[i-1].Service > p.Service {
		i--
	}
	list = append(list, routing.WeightedService{})
	copy(list[i+1:], list[i:])
	list[i] = p
	return list
}
