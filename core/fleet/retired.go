package fleet

import (
	"cmp"
	"slices"
	"time"

	"fulmarmount.org/core/view"
)

// RetiredService is a service that the document no longer names, while listeners that
// assigned flows to it go on: open flows stay with its backend servers. It gets no new
// flows.
type RetiredService struct {
	Service Service `cbor:"1,keyasint" json:"service"`
	// RetiredAt is the time of the command that removed the service, by its proposer's
	// clock.
	RetiredAt time.Time `cbor:"2,keyasint" json:"retired_at"`
}

// Retired returns the retired service with a name, or nil.
func (d *Document) Retired(name string) *RetiredService {
	i, ok := slices.BinarySearchFunc(d.RetiredServices, name, func(r RetiredService, name string) int {
		return cmp.Compare(r.Service.Name, name)
	})
	if !ok {
		return nil
	}
	return &d.RetiredServices[i]
}

// AllServices returns the services and the retired ones.
func (d *Document) AllServices() []Service {
	all := slices.Clone(d.Services)
	for i := range d.RetiredServices {
		all = append(all, d.RetiredServices[i].Service)
	}
	return all
}

// asRetired returns a service of the document as one that is retired at time now, or
// that was retired earlier. It returns false if the document has no such service, or if
// its retirement is over.
func (d *Document) asRetired(name string, now time.Time) (RetiredService, bool) {
	if s := d.Service(name); s != nil {
		return RetiredService{Service: *s, RetiredAt: now}, true
	}
	if r := d.Retired(name); r != nil && now.Sub(r.RetiredAt) < flowRetention {
		return *r, true
	}
	return RetiredService{}, false
}

// retireServices sets the RetiredServices of next: the services that previous had, that
// next lacks, and to which a listener of next has assigned flows.
func retireServices(previous, next *Document, now time.Time) {
	next.RetiredServices = nil
	seen := make(map[string]bool)
	for i := range next.Listeners {
		for _, p := range next.Listeners[i].PreviousServices {
			name := p.Service
			if seen[name] || next.Service(name) != nil {
				continue
			}
			seen[name] = true
			if r, ok := previous.asRetired(name, now); ok {
				next.RetiredServices = append(next.RetiredServices, r)
			}
		}
	}
	slices.SortFunc(next.RetiredServices, func(a, b RetiredService) int { return cmp.Compare(a.Service.Name, b.Service.Name) })
}

// retiredID returns the ID of a retired service, or 0. A service that is named again
// keeps its ID, as its backend servers still hold its flows.
func (d *Document) retiredID(name string) view.ServiceID {
	if r := d.Retired(name); r != nil {
		return r.Service.ID
	}
	return 0
}
