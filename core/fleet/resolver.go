package fleet

import "time"

// Resolver finds the settings in force for many targets. It is made for one
// document at one time, and equals Document.Effective there.
type Resolver struct {
	defaults   Settings
	exceptions map[resolverKey][]*Exception
	expired    int
}

type resolverKey struct {
	scope  Scope
	target string
}

// NewResolver returns a resolver for d at now.
func NewResolver(d *Document, now time.Time) *Resolver {
	r := &Resolver{defaults: d.Defaults, exceptions: make(map[resolverKey][]*Exception)}
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Expired(now) {
			r.expired++
			continue
		}
		key := resolverKey{e.Scope, e.Target}
		r.exceptions[key] = append(r.exceptions[key], e)
	}
	return r
}

// ExpiredCount returns the number of exceptions that had ended.
func (r *Resolver) ExpiredCount() int { return r.expired }

// EffectiveSettings returns the settings for a target.
func (r *Resolver) EffectiveSettings(target Target) Settings {
	settings := r.defaults
	for _, scope := range anyScope {
		for _, e := range r.exceptions[resolverKey{scope, target.name(scope)}] {
			// A machine's document was validated, so the value parses.
			_ = settings.Set(e.Key, e.Value)
		}
	}
	return settings
}
