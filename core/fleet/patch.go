package fleet

import (
	"cmp"
	"slices"
)

// Patch is the difference between two documents.
type Patch struct {
	// Defaults replaces the default settings if it is set.
	Defaults *Settings `cbor:"1,keyasint,omitempty" json:"defaults,omitempty"`
	// PutServices and PutExceptions add items or replace those with the same name.
	PutServices   []Service   `cbor:"2,keyasint,omitempty" json:"put_services,omitempty"`
	PutExceptions []Exception `cbor:"3,keyasint,omitempty" json:"put_exceptions,omitempty"`
	// DeleteServices and DeleteExceptions are the names of the items to delete.
	DeleteServices   []string `cbor:"4,keyasint,omitempty" json:"delete_services,omitempty"`
	DeleteExceptions []string `cbor:"5,keyasint,omitempty" json:"delete_exceptions,omitempty"`
}

// Size returns the number of items that the patch changes.
func (p *Patch) Size() int {
	n := len(p.PutServices) + len(p.PutExceptions) + len(p.DeleteServices) + len(p.DeleteExceptions)
	if p.Defaults != nil {
		n++
	}
	return n
}

// Diff returns the patch that changes from into to. Both must be normalized.
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

// Apply returns a copy of d with the patch applied. The copy shares unchanged items with
// d. Both the patch and d must be normalized. Deleting an item that does not exist is
// not an error.
func (p *Patch) Apply(d *Document) *Document {
	next := &Document{Defaults: d.Defaults, Listeners: d.Listeners}
	if p.Defaults != nil {
		next.Defaults = *p.Defaults
	}
	next.Services = patchItems(d.Services, p.PutServices, p.DeleteServices, serviceName)
	next.Exceptions = patchItems(d.Exceptions, p.PutExceptions, p.DeleteExceptions, exceptionName)
	return next
}

// normalize normalizes the items of the patch; see Document.Normalize.
func (p *Patch) normalize() {
	d := Document{Services: p.PutServices, Exceptions: p.PutExceptions}
	d.Normalize()
	p.PutServices, p.PutExceptions = d.Services, d.Exceptions
}

// overlaps reports whether both patches change the same item.
func (p *Patch) overlaps(other *Patch) bool {
	if p.Defaults != nil && other.Defaults != nil {
		return true
	}
	services := itemNames(p.PutServices, p.DeleteServices, serviceName)
	exceptions := itemNames(p.PutExceptions, p.DeleteExceptions, exceptionName)
	return intersects(services, itemNames(other.PutServices, other.DeleteServices, serviceName)) ||
		intersects(exceptions, itemNames(other.PutExceptions, other.DeleteExceptions, exceptionName))
}

func itemNames[T any](put []T, deleted []string, name func(*T) string) map[string]bool {
	set := make(map[string]bool, len(put)+len(deleted))
	for i := range put {
		set[name(&put[i])] = true
	}
	for _, n := range deleted {
		set[n] = true
	}
	return set
}

func intersects(a, b map[string]bool) bool {
	for n := range a {
		if b[n] {
			return true
		}
	}
	return false
}

func serviceName(s *Service) string { return s.Name }

func exceptionName(e *Exception) string { return e.Name }

// equalServices compares all fields except the ID, which operators do not set.
func equalServices(a, b *Service) bool {
	return a.Name == b.Name && a.Mode == b.Mode && a.Share == b.Share &&
		slices.Equal(a.Addresses, b.Addresses) &&
		slices.Equal(a.Classes, b.Classes) &&
		slices.Equal(a.RepeatableRoutes, b.RepeatableRoutes)
}

func equalExceptions(a, b *Exception) bool { return *a == *b }

// diffItems returns the changes from one slice to another. Both are sorted by name.
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

// patchItems returns a copy of items without the deleted ones, in which the items in put
// are added or replace those with the same name. items and put are sorted by name.
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
	return nilIfEmpty(append(next, put...))
}
