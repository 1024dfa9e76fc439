package fleetfile

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"fulmarmount.org/core/fleet"
)

// Format writes the document as Parse reads it. Service IDs, which operators
// do not write, are left out.
func Format(d *fleet.Document) []byte {
	w := &writer{}
	w.section(fleet.SectionDefaults)
	for _, key := range fleet.SettingKeys() {
		w.key(string(key), d.Defaults.Get(key))
	}
	for i := range d.Services {
		w.service(&d.Services[i])
	}
	for i := range d.Exceptions {
		w.exception(&d.Exceptions[i])
	}
	return w.Bytes()
}

type writer struct{ bytes.Buffer }

func (w *writer) section(name string) {
	if w.Len() > 0 {
		w.WriteByte('\n')
	}
	w.WriteString("[" + name + "]\n")
}

func (w *writer) key(name, value string) {
	w.WriteString(name + " = " + value + "\n")
}

// list writes a comma-separated value, and nothing where it is empty.
func (w *writer) list(name string, items []string) {
	if len(items) > 0 {
		w.key(name, strings.Join(items, ", "))
	}
}

func (w *writer) service(s *fleet.Service) {
	w.section(fleet.ServiceSectionPrefix + s.Name)
	w.key("mode", string(s.Mode))
	var addresses, classes, routes []string
	for _, addr := range s.Addresses {
		addresses = append(addresses, addr.String())
	}
	for _, c := range s.Classes {
		classes = append(classes, fmt.Sprintf("%s %d-%d %s", c.Name, c.MostUrgent, c.LeastUrgent, c.Share))
	}
	for _, route := range s.RepeatableRoutes {
		routes = append(routes, route.Method+" "+route.Prefix)
	}
	w.list("addresses", addresses)
	if s.Share > 0 {
		w.key("share", s.Share.String())
	}
	w.list("classes", classes)
	w.list("repeatable", routes)
}

func (w *writer) exception(e *fleet.Exception) {
	w.section(fleet.ExceptionSectionPrefix + e.Name)
	w.key("scope", string(e.Scope))
	w.key("target", e.Target)
	w.key("key", string(e.Key))
	w.key("value", e.Value)
	w.key("reason", e.Reason)
	if !e.ExpiresAt.IsZero() {
		w.key("expires", e.ExpiresAt.Format(time.RFC3339))
	}
}
