package lease

import "time"

// LinkState is the state of the path to a peer.
type LinkState uint8

// The states of a Link.
const (
	LinkUp           LinkState = iota // the current connection is responsive
	LinkUnresponsive                  // the current connection is unresponsive; a replacement is being tried
	LinkSuspect                       // a replacement connection was unresponsive as well
)

// LinkAction is an action that a Link requests from its caller.
type LinkAction uint8

// The actions of a Link.
const (
	LinkNoAction         LinkAction = iota
	LinkSendHeartbeat               // send a heartbeat on the current connection
	LinkOpenReplacement             // open a connection from a new port and send a heartbeat on it
	LinkUseReplacement              // switch to the replacement connection and close the current one
	LinkCloseReplacement            // close the replacement connection
)

// LinkOptions configures a Link. Zero values select the defaults.
type LinkOptions struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// ReceiveTimeout is how long nothing may be received on the current connection
	// before a replacement is opened.
	ReceiveTimeout time.Duration
	// ReplacementTimeout is how long a replacement connection may take to respond.
	ReplacementTimeout time.Duration
	// RetryInterval is the time between replacement connections to a suspect peer.
	RetryInterval time.Duration
}

func (o *LinkOptions) setDefaults() {
	setDefault(&o.HeartbeatInterval, 500*time.Millisecond)
	setDefault(&o.ReceiveTimeout, 1600*time.Millisecond)
	setDefault(&o.ReplacementTimeout, time.Second)
	setDefault(&o.RetryInterval, 2*time.Second)
}

// Link monitors the connection to one peer. A device on the path, such as a NAT
// or a firewall, may lose the state of a connection: that connection then fails
// permanently while new ones work. A receive timeout alone is therefore no
// evidence against the peer. A peer becomes suspect only if a replacement
// connection from a new port is unresponsive as well. A Link is not safe for
// concurrent use.
type Link struct {
	options             LinkOptions
	state               LinkState
	receivedAt          time.Duration
	heartbeatAt         time.Duration
	replacementOpenedAt time.Duration // when LinkOpenReplacement was returned
	hasReplacement      bool
}

// NewLink returns a Link in state LinkUp, as if a message was received at now.
func NewLink(now time.Duration, o LinkOptions) *Link {
	o.setDefaults()
	return &Link{options: o, receivedAt: now, heartbeatAt: now}
}

// State returns the state of the path to the peer.
func (l *Link) State() LinkState { return l.state }

// RecordReceive records that a message was received on the current connection.
func (l *Link) RecordReceive(now time.Duration) LinkAction {
	l.receivedAt = now
	l.state = LinkUp
	if !l.hasReplacement {
		return LinkNoAction
	}
	l.hasReplacement = false
	return LinkCloseReplacement
}

// RecordReplacementReceive records that a message was received on the replacement
// connection.
func (l *Link) RecordReplacementReceive(now time.Duration) LinkAction {
	if !l.hasReplacement {
		return LinkNoAction
	}
	l.receivedAt, l.heartbeatAt = now, now
	l.state, l.hasReplacement = LinkUp, false
	return LinkUseReplacement
}

// Tick returns the action that is due. Call it more often than once per
// HeartbeatInterval.
func (l *Link) Tick(now time.Duration) LinkAction {
	switch {
	case l.state == LinkUp && now-l.receivedAt > l.options.ReceiveTimeout:
		l.state = LinkUnresponsive
		return l.openReplacement(now)
	case l.hasReplacement && now-l.replacementOpenedAt > l.options.ReplacementTimeout:
		l.state, l.hasReplacement = LinkSuspect, false
		return LinkCloseReplacement
	case l.state == LinkSuspect && now-l.replacementOpenedAt > l.options.RetryInterval:
		return l.openReplacement(now)
	case now-l.heartbeatAt >= l.options.HeartbeatInterval:
		l.heartbeatAt = now
		return LinkSendHeartbeat
	}
	return LinkNoAction
}

func (l *Link) openReplacement(now time.Duration) LinkAction {
	l.replacementOpenedAt, l.hasReplacement = now, true
	return LinkOpenReplacement
}
