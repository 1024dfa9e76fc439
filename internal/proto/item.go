package proto

import (
	"strings"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("proto")

// BadItem is returned for a disseminated item that can't be encoded or decoded.
var BadItem = Errors.NewType("bad_item")

// The keys of disseminated items are a prefix and the name of a service.
const (
	servicePrefix = "service/"
	viewPrefix    = "view/"
)

// ZonesKey is the key of the item that holds a Zones.
const ZonesKey = "zones"

// ServiceKey returns the key of a service's configuration.
func ServiceKey(name string) string { return servicePrefix + name }

// ViewKey returns the key of a service's view.
func ViewKey(name string) string { return viewPrefix + name }

// ServiceItem encodes a service's configuration.
func ServiceItem(s Service, version view.Version) (dissemination.Item, error) {
	return item(ServiceKey(s.Name), version, s)
}

// ViewItem encodes the view of the service of a given name. The item's version
// orders it among all items; the view has a version of its own.
func ViewItem(name string, version view.Version, v *view.View) (dissemination.Item, error) {
	return item(ViewKey(name), version, v)
}

// ZonesItem encodes what operators have ordered of availability zones.
func ZonesItem(z Zones, version view.Version) (dissemination.Item, error) {
	return item(ZonesKey, version, z)
}

func item(key string, version view.Version, content any) (dissemination.Item, error) {
	body, err := encode(content)
	if err != nil {
		return dissemination.Item{}, BadItem.Wrap(err, "encode %q", key)
	}
	return dissemination.Item{Key: key, Version: version, Body: body}, nil
}

// Update is what has come in force at a daemon.
type Update struct {
	// Services are new or changed; Removed names those that no longer exist.
	Services []Service
	Removed  []string
	// Views are new or changed. The view of a removed service goes with it.
	Views []*view.View
	// Zones is what operators have ordered of availability zones; nil if it has not
	// changed.
	Zones *Zones
}

// Add decodes an item into u.
func (u *Update) Add(it dissemination.Item) error {
	switch {
	case strings.HasPrefix(it.Key, servicePrefix) && it.Deleted:
		u.Removed = append(u.Removed, strings.TrimPrefix(it.Key, servicePrefix))
	case strings.HasPrefix(it.Key, servicePrefix):
		var s Service
		if err := decode(it.Body, &s); err != nil {
			return BadItem.Wrap(err, "decode %q at %v", it.Key, it.Version)
		}
		s.Version = it.Version
		u.Services = append(u.Services, s)
	case it.Key == ZonesKey && it.Deleted:
		u.Zones = &Zones{}
	case it.Key == ZonesKey:
		var z Zones
		if err := decode(it.Body, &z); err != nil {
			return BadItem.Wrap(err, "decode %q at %v", it.Key, it.Version)
		}
		u.Zones = &z
	case strings.HasPrefix(it.Key, viewPrefix) && !it.Deleted:
		v := &view.View{}
		if err := decode(it.Body, v); err != nil {
			return BadItem.Wrap(err, "decode %q at %v", it.Key, it.Version)
		}
		v.Prepare()
		u.Views = append(u.Views, v)
	}
	return nil
}
