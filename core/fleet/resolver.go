package fleet

import "time"

// Resolver returns the effective settings of many targets efficiently. It is created for
// one document and one time, and gives the same results as Document.EffectiveSettings.
type Resolver struct {
	defaults     Settings
	exceptions   map[scopeTarget][]*Exception
	expiredCount int
}

type scopeTarget struct {
	scope  Scope
	target string
}

// NewResolver returns a resolver for document d at time now.
func NewResolver(d *Document, now time.Time) *Resolver {
	r := &Resolver{defaults: d.Defaults, exceptions: make(map[scopeTarget][]*Exception)}
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Expired(now) {
			r.expiredCount++
			continue
		}
		key := scopeTarget{e.Scope, e.Target}
		r.exceptions[key] = append(r.exceptions[key], e)
	}
	return r
}

// ExpiredCount returns the number of expired exceptions.
func (r *Resolver) ExpiredCount() int { return r.expiredCount }

// EffectiveSettings returns the settings of a target.
func (r *Resolver) EffectiveSettings(target Target) Settings {
	settings := r.defaults
	for _, scope := range allScopes {
		for _, e := range r.exceptions[scopeTarget{scope, target.nameFor(scope)}] {
			// The StateMachine validated the document, so Set cannot fail.
			_ = settings.Set(e.Key, e.Value)
		}
	}
	return settings
}
