package lease

import "time"

// LinkState is what is known of the path to a peer.
type LinkState uint8

// The states of a Link.
const (
	LinkUp           LinkState = iota // the connection in use answers
	LinkUnresponsive                  // it does not; a fresh connection is being tried
	LinkSuspect                       // neither does a fresh one
)

// LinkAction is what a Link asks its owner to do.
type LinkAction uint8

// The actions of a Link.
const (
	LinkNoAction         LinkAction = iota // nothing
	LinkSendHeartbeat                      // send a heartbeat on the connection in use
	LinkOpenReplacement                    // open a connection from a new port and send a heartbeat on it
	LinkUseReplacement                     // use the fresh connection and close the old one
	LinkCloseReplacement                   // close the fresh connection
)

// LinkOptions configure a Link. Zero values take defaults.
type LinkOptions struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// ReceiveTimeout is how long a connection may bring nothing before a fresh one
	// is tried.
	ReceiveTimeout time.Duration
	// ReplacementTimeout is how long a fresh connection may take to answer.
	ReplacementTimeout time.Duration
	// RetryInterval is the time between fresh connections to a suspect peer.
	RetryInterval time.Duration
}

func (o *LinkOptions) setDefaults() {
	setDefault(&o.HeartbeatInterval, 500*time.Millisecond)
	setDefault(&o.ReceiveTimeout, 1600*time.Millisecond)
	setDefault(&o.ReplacementTimeout, time.Second)
	setDefault(&o.RetryInterval, 2*time.Second)
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

// RecordReceive notes that the connection in use brought something.
func (l *Link) RecordReceive(now time.Duration) LinkAction {
	l.heard = now
	l.state = LinkUp
	if !l.fresh {
		return LinkNoAction
	}
	l.fresh = false
	return LinkCloseReplacement
}

// RecordReplacementReceive notes that the fresh connection brought something.
func (l *Link) RecordReplacementReceive(now time.Duration) LinkAction {
	if !l.fresh {
		return LinkNoAction
	}
	l.heard, l.beat = now, now
	l.state, l.fresh = LinkUp, false
	return LinkUseReplacement
}

// Tick returns what is to be done now. Call it more often than BeatEvery.
func (l *Link) Tick(now time.Duration) LinkAction {
	switch {
	case l.state == LinkUp && now-l.heard > l.options.ReceiveTimeout:
		l.state = LinkUnresponsive
		return l.open(now)
	case l.fresh && now-l.opened > l.options.ReplacementTimeout:
		l.state, l.fresh = LinkSuspect, false
		return LinkCloseReplacement
	case l.state == LinkSuspect && now-l.opened > l.options.RetryInterval:
		return l.open(now)
	case now-l.beat >= l.options.HeartbeatInterval:
		l.beat = now
		return LinkSendHeartbeat
	}
	return LinkNoAction
}

func (l *Link) open(now time.Duration) LinkAction {
	l.opened, l.fresh = now, true
	return LinkOpenReplacement
}
