package lease

import "time"

// LinkState is what is known of the path to a peer.
type LinkState uint8

// The states of a Link.
const (
	LinkUp      LinkState = iota // the connection in use answers
	LinkSilent                   // it does not; a fresh connection is being tried
	LinkSuspect                  // neither does a fresh one
)

// LinkAction is what a Link asks its owner to do.
type LinkAction uint8

// The actions of a Link.
const (
	LinkWait      LinkAction = iota // nothing
	LinkBeat                        // send a heartbeat on the connection in use
	LinkOpenFresh                   // open a connection from a new port and send a heartbeat on it
	LinkSwitch                      // use the fresh connection and close the old one
	LinkDropFresh                   // close the fresh connection
)

// LinkOptions configure a Link. Zero values take defaults.
type LinkOptions struct {
	// BeatEvery is the time between heartbeats.
	BeatEvery time.Duration
	// SilentAfter is how long a connection may bring nothing before a fresh one
	// is tried.
	SilentAfter time.Duration
	// FreshWithin is how long a fresh connection may take to answer.
	FreshWithin time.Duration
	// RetryEvery is the time between fresh connections to a suspect peer.
	RetryEvery time.Duration
}

func (o *LinkOptions) setDefaults() {
	setDefault(&o.BeatEvery, 500*time.Millisecond)
	setDefault(&o.SilentAfter, 1600*time.Millisecond)
	setDefault(&o.FreshWithin, time.Second)
	setDefault(&o.RetryEvery, 2*time.Second)
}

// Link watches the connection to one peer. A connection may go silent for good
// while new ones work, because something on the way has lost track of it; so
// silence alone says nothing about the peer. Only a peer that a fresh connection
// does not reach either is suspect. It is not safe for concurrent use.
type Link struct {
	options LinkOptions
	state   LinkState
	heard   time.Duration
	beat    time.Duration
	opened  time.Duration // when the fresh connection was asked for
	fresh   bool          // a fresh connection is open
}

// NewLink returns a link whose connection has just been heard.
func NewLink(now time.Duration, o LinkOptions) *Link {
	o.setDefaults()
	return &Link{options: o, heard: now, beat: now}
}

// State returns what is known of the path.
func (l *Link) State() LinkState { return l.state }

// Heard notes that the connection in use brought something.
func (l *Link) Heard(now time.Duration) LinkAction {
	l.heard = now
	l.state = LinkUp
	if !l.fresh {
		return LinkWait
	}
	l.fresh = false
	return LinkDropFresh
}

// FreshHeard notes that the fresh connection brought something.
func (l *Link) FreshHeard(now time.Duration) LinkAction {
	if !l.fresh {
		return LinkWait
	}
	l.heard, l.beat = now, now
	l.state, l.fresh = LinkUp, false
	return LinkSwitch
}

// Tick returns what is to be done now. Call it more often than BeatEvery.
func (l *Link) Tick(now time.Duration) LinkAction {
	switch {
	case l.state == LinkUp && now-l.heard > l.options.SilentAfter:
		l.state = LinkSilent
		return l.open(now)
	case l.fresh && now-l.opened > l.options.FreshWithin:
		l.state, l.fresh = LinkSuspect, false
		return LinkDropFresh
	case l.state == LinkSuspect && now-l.opened > l.options.RetryEvery:
		return l.open(now)
	case now-l.beat >= l.options.BeatEvery:
		l.beat = now
		return LinkBeat
	}
	return LinkWait
}

func (l *Link) open(now time.Duration) LinkAction {
	l.opened, l.fresh = now, true
	return LinkOpenFresh
}
