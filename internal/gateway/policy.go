package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// Policy is how requests of one service are handled.
type Policy struct {
	// Classes cover all urgencies. An urgency in no class falls into the last.
	Classes []fleet.Class
	// Repeatable lists the requests that may run more than once, besides GET,
	// HEAD and OPTIONS.
	Repeatable []fleet.Route
	// Deadline ends a request whose caller names none, and bounds those named.
	Deadline time.Duration
	// QueueTime is the longest wait for a slot.
	QueueTime time.Duration
	// RetryRatio is the part of the load that retries may add, from 0 to 1.
	RetryRatio float64
	// MaxEjected is the greatest part of the hosts that is ejected, from 0 to 1.
	MaxEjected float64
	// HedgeAfter is when a repeatable request is sent a second time; 0 for never.
	HedgeAfter time.Duration
	// Share is the service's part of a gateway; zero stands for the mean part.
	Share fleet.Share
}

// defaultClasses divide a service whose operators set no classes.
var defaultClasses = []fleet.Class{
	{Name: "urgent", MostUrgent: 0, LeastUrgent: 2, Share: fleet.FullShare / 2},
	{Name: "normal", MostUrgent: 3, LeastUrgent: 4, Share: fleet.FullShare / 4},
	{Name: "background", MostUrgent: 5, LeastUrgent: 7, Share: fleet.FullShare / 4},
}

// DefaultPolicy returns the policy of a service whose operators set none.
func DefaultPolicy() Policy { return PolicyOf(&fleet.Service{}, fleet.DefaultSettings()) }

// PolicyFor returns the policy of a service as daemons are told of it.
func PolicyFor(s proto.Service) Policy {
	in := s.Settings
	if in == (fleet.Settings{}) {
		in = fleet.DefaultSettings()
	}
	return PolicyOf(&fleet.Service{Share: s.Share, Classes: s.Classes, RepeatableRoutes: s.Repeatable}, in)
}

const percent = 0.01

// PolicyOf returns the policy of a service under the settings in force for it.
func PolicyOf(s *fleet.Service, in fleet.Settings) Policy {
	p := Policy{
		Classes:    s.Classes,
		Repeatable: s.RepeatableRoutes,
		Deadline:   in.Deadline,
		QueueTime:  in.QueueTime,
		RetryRatio: float64(in.RetryBudgetPercent) * percent,
		MaxEjected: float64(in.MaxEjectedPercent) * percent,
		Share:      s.Share,
	}
	if len(p.Classes) == 0 {
		p.Classes = defaultClasses
	}
	return p
}

const (
	// defaultUrgency is that of a request without a Priority header field.
	defaultUrgency = 3
	maxUrgency     = 7
)

// class returns the index of the class of an urgency.
func (p *Policy) class(urgency uint8) int {
	for i, c := range p.Classes {
		if urgency >= c.MostUrgent && urgency <= c.LeastUrgent {
			return i
		}
	}
	return len(p.Classes) - 1
}

// repeatable reports whether a request may run more than once.
func (p *Policy) repeatable(method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	for _, r := range p.Repeatable {
		if r.Method == method && strings.HasPrefix(path, r.Prefix) {
			return true
		}
	}
	return false
}

// admissionClasses returns the classes for a limiter that gives the service the
// part share of it. Queues hold at most perClass requests.
func (p *Policy) admissionClasses(share fleet.Share, prefix string, perClass int) []admission.Class {
	var out []admission.Class
	for _, c := range p.Classes {
		out = append(out, admission.Class{
			Name: prefix + c.Name, Share: max(1, int(share)) * max(1, int(c.Share)),
			MaxWait: p.QueueTime, MaxQueue: perClass,
		})
	}
	return out
}

// shares returns the part of each service, as in fleet.Service: services
// without a share of their own split what the others leave.
func shares(services []Service) []fleet.Share {
	out := make([]fleet.Share, len(services))
	left, without := fleet.FullShare, fleet.Share(0)
	for i := range services {
		out[i] = services[i].Policy.Share
		left -= min(left, out[i])
		if out[i] == 0 {
			without++
		}
	}
	for i := range out {
		if out[i] == 0 {
			out[i] = max(1, left/without)
		}
	}
	return out
}

// urgency reads the Priority header field.
func urgency(h http.Header) uint8 {
	for member := range strings.SplitSeq(h.Get("Priority"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(member), "u=")
		if !ok {
			continue
		}
		value, _, _ = strings.Cut(value, ";")
		if u, err := strconv.ParseUint(strings.TrimSpace(value), 10, 8); err == nil && u <= maxUrgency {
			return uint8(u)
		}
	}
	return defaultUrgency
}

// wait reads the caller's deadline from the wait preference (RFC 7240, section
// 4.3), in seconds.
func wait(h http.Header, limit time.Duration) time.Duration {
	for _, line := range h.Values("Prefer") {
		for member := range strings.SplitSeq(line, ",") {
			value, ok := strings.CutPrefix(strings.TrimSpace(member), "wait=")
			if !ok {
				continue
			}
			s, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err == nil && s > 0 {
				return min(time.Duration(s)*time.Second, limit)
			}
		}
	}
	return limit
}
