package fleet

import (
	"cmp"
	"slices"
)

// Patch is the difference between two documents.
type Patch struct {
	// Defaults replaces the defaults where it is set.
	Defaults *Settings `cbor:"1,keyasint,omitempty" json:"defaults,omitempty"`
	// PutServices and PutExceptions add or replace by name.
	PutServices   []Service   `cbor:"2,keyasint,omitempty" json:"put_services,omitempty"`
	PutExceptions []Exception `cbor:"3,keyasint,omitempty" json:"put_exceptions,omitempty"`
	// DeleteServices and DeleteExceptions remove by name.
	DeleteServices   []string `cbor:"4,keyasint,omitempty" json:"delete_services,omitempty"`
	DeleteExceptions []string `cbor:"5,keyasint,omitempty" json:"delete_exceptions,omitempty"`
}

// Size returns the number of items that the patch touches.
func (p *Patch) Size() int {
	n := len(p.PutServices) + len(p.PutExceptions) + len(p.DeleteServices) + len(p.DeleteExceptions)
	if p.Defaults != nil {
		n++
	}
	return n
}

// Diff returns the patch that turns from into to. Both are normalized.
func Diff(from, to *Document) Patch {
	var p Patch
	if from.Defaults != to.Defaults {
		defaults := to.Defaults
		p.Defaults = &defaults
	}
	p.PutServices, p.DeleteServices = diffItems(from.Services, to.Services, serviceName, equalServices)
	p.PutExceptions, p.DeleteExceptions = diffItems(from.Exceptions, to.Exceptions, exceptionName, equalExceptions)
	return p
}

// Apply returns the document that the patch makes of d, which stays unchanged
// and shares what the patch does not touch. Both are normalized.
// Deleting what does not exist is no error.
func (p *Patch) Apply(d *Document) *Document {
	next := &Document{Defaults: d.Defaults, Listeners: d.Listeners}
	if p.Defaults != nil {
		next.Defaults = *p.Defaults
	}
	next.Services = patchItems(d.Services, p.PutServices, p.DeleteServices, serviceName)
	next.Exceptions = patchItems(d.Exceptions, p.PutExceptions, p.DeleteExceptions, exceptionName)
	return next
}

// normalize is Document.Normalize for the items of the patch.
func (p *Patch) normalize() {
	d := Document{Services: p.PutServices, Exceptions: p.PutExceptions}
	d.Normalize()
	p.PutServices, p.PutExceptions = d.Services, d.Exceptions
}

// touches reports whether both patches change one item.
func (p *Patch) touches(o *Patch) bool {
	if p.Defaults != nil && o.Defaults != nil {
		return true
	}
	services := names(p.PutServices, p.DeleteServices, serviceName)
	exceptions := names(p.PutExceptions, p.DeleteExceptions, exceptionName)
	return anyIn(services, names(o.PutServices, o.DeleteServices, serviceName)) ||
		anyIn(exceptions, names(o.PutExceptions, o.DeleteExceptions, exceptionName))
}

func names[T any](put []T, deleted []string, name func(*T) string) map[string]bool {
	set := make(map[string]bool, len(put)+len(deleted))
	for i := range put {
		set[name(&put[i])] = true
	}
	for _, n := range deleted {
		set[n] = true
	}
	return set
}

func anyIn(a, b map[string]bool) bool {
	for n := range a {
		if b[n] {
			return true
		}
	}
	return false
}

func serviceName(s *Service) string { return s.Name }

func exceptionName(e *Exception) string { return e.Name }

// equalServices compares what operators write, so not the ID.
func equalServices(a, b *Service) bool {
	return a.Name == b.Name && a.Mode == b.Mode && a.Share == b.Share &&
		slices.Equal(a.Addresses, b.Addresses) &&
		slices.Equal(a.Classes, b.Classes) &&
		slices.Equal(a.RepeatableRoutes, b.RepeatableRoutes)
}

func equalExceptions(a, b *Exception) bool { return *a == *b }

// diffItems merges two slices sorted by name.
func diffItems[T any](from, to []T, name func(*T) string, equal func(a, b *T) bool) (put []T, deleted []string) {
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		var order int
		switch {
		case i == len(from):
			order = 1
		case j == len(to):
			order = -1
		default:
			order = cmp.Compare(name(&from[i]), name(&to[j]))
		}
		if order < 0 {
			deleted = append(deleted, name(&from[i]))
		}
		if order > 0 || order == 0 && !equal(&from[i], &to[j]) {
			put = append(put, to[j])
		}
		if order <= 0 {
			i++
		}
		if order >= 0 {
			j++
		}
	}
	return put, deleted
}

// patchItems returns a copy of items without the deleted ones and with the put
// ones in place of those of the same name. All but deleted are sorted by name.
func patchItems[T any](items, put []T, deleted []string, name func(*T) string) []T {
	if len(put) == 0 && len(deleted) == 0 {
		return items
	}
	deleted = slices.Sorted(slices.Values(deleted))
	next := make([]T, 0, len(items)+len(put))
	for i := range items {
		n := name(&items[i])
		for len(put) > 0 && name(&put[0]) < n {
			next = append(next, put[0])
			put = put[1:]
		}
		for len(deleted) > 0 && deleted[0] < n {
			deleted = deleted[1:]
		}
		replaced := len(put) > 0 && name(&put[0]) == n
		removed := len(deleted) > 0 && deleted[0] == n
		if !replaced && !removed {
			next = append(next, items[i])
		}
	}
	return nonEmpty(append(next, put...))
}
