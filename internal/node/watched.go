package node

import (
	"net/netip"
	"sync/atomic"
)

// Watched is a list in the settings that may change while the process runs. It is safe
// for concurrent use.
type Watched[T any] struct {
	list atomic.Pointer[[]T]
}

// Seeds are the addresses of control processes in the settings.
type Seeds = Watched[netip.AddrPort]

// NewSeeds returns Seeds with addresses.
func NewSeeds(addrs []netip.AddrPort) *Seeds { return newWatched(addrs) }

// Zones are the names of the availability zones in the settings.
type Zones = Watched[string]

// NewZones returns Zones with names.
func NewZones(names []string) *Zones { return newWatched(names) }

func newWatched[T any](list []T) *Watched[T] {
	w := &Watched[T]{}
	w.Set(list)
	return w
}

// Set replaces the list.
func (w *Watched[T]) Set(list []T) { w.list.Store(&list) }

// Get returns the list. Treat it as read-only.
func (w *Watched[T]) Get() []T { return *w.list.Load() }
