package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarmount.org/core/admission"
)

// Route matches requests by method and path prefix.
type Route struct {
	Method string
	Prefix string
}

// Class is the requests within a range of urgencies (RFC 9218, section 4.1): 0
// is the most urgent and 7 the least.
type Class struct {
	Name        string
	MostUrgent  uint8
	LeastUrgent uint8
	// Share is the class's part of the service, relative to the other classes.
	Share int
}

// Policy is how requests of one service are handled.
type Policy struct {
	// Classes cover all urgencies. An urgency in no class falls into the last.
	Classes []Class
	// Repeatable lists the requests that may run more than once, besides GET,
	// HEAD and OPTIONS.
	Repeatable []Route
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
	// Share is the service's part of a gateway, relative to other services.
	Share int
}

// DefaultPolicy returns the policy of a service whose operators set none.
func DefaultPolicy() Policy {
	return Policy{
		Classes: []Class{
			{Name: "urgent", MostUrgent: 0, LeastUrgent: 2, Share: 2},
			{Name: "normal", MostUrgent: 3, LeastUrgent: 4, Share: 1},
			{Name: "background", MostUrgent: 5, LeastUrgent: 7, Share: 1},
		},
		Deadline:   10 * time.Second,
		QueueTime:  500 * time.Millisecond,
		RetryRatio: 0.1,
		MaxEjected: 0.3,
		Share:      1,
	}
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

// admissionClasses returns the classes for a limiter. Queues hold at most
// perClass requests.
func (p *Policy) admissionClasses(prefix string, perClass int) []admission.Class {
	var out []admission.Class
	for _, c := range p.Classes {
		out = append(out, admission.Class{
			Name: prefix + c.Name, Share: c.Share * max(1, p.Share), MaxWait: p.QueueTime, MaxQueue: perClass,
		})
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
