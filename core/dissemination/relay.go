package dissemination

import "time"

// RelayOutput holds the messages and items that a Relay passes to its caller.
type RelayOutput struct {
	Output
	// Deliveries are to be sent to the subscribers.
	Deliveries []Delivery
}

// Relay is a Sink and a Source over the same Store. It is not safe for concurrent
// use.
type Relay struct {
	sink   *Sink
	source *Source
}

// NewRelay returns a Relay over an empty Store.
func NewRelay(now time.Duration, sinkOpts SinkOptions, sourceOpts SourceOptions) *Relay {
	store := NewStore(StoreOptions{})
	sinkOpts.IsRelay = true
	return &Relay{sink: NewSink(now, store, sinkOpts), source: NewSource(store, sourceOpts)}
}

// Sink returns the upstream side of the relay.
func (r *Relay) Sink() *Sink { return r.sink }

// Source returns the downstream side of the relay. Call Tick and
// ReceiveFromSubscriber of the Relay instead of Tick and Receive of its Source.
func (r *Relay) Source() *Source { return r.source }

// Connect opens a session with the upstream Source.
func (r *Relay) Connect(now time.Duration, session uint64) RelayOutput {
	return r.attachSummaries(r.sink.Connect(now, session))
}

// ReceiveFromSource processes a message from the upstream Source.
func (r *Relay) ReceiveFromSource(now time.Duration, m DownstreamMessage) RelayOutput {
	out := r.attachSummaries(r.sink.Receive(now, m))
	out.Deliveries = r.source.Tick(now)
	return out
}

// ReceiveFromSubscriber processes a message from a subscriber.
func (r *Relay) ReceiveFromSubscriber(now time.Duration, peer PeerID, m UpstreamMessage) RelayOutput {
	return RelayOutput{Deliveries: r.source.Receive(now, peer, m)}
}

// Tick runs the timers of both sides.
func (r *Relay) Tick(now time.Duration) RelayOutput {
	out := r.attachSummaries(r.sink.Tick(now))
	out.Deliveries = r.source.Tick(now)
	return out
}

// attachSummaries adds the subscribers' progress and newer versions to the
// acknowledgements. It also passes the latest confirmation on to the Source.
func (r *Relay) attachSummaries(out Output) RelayOutput {
	if at, ok := r.sink.AsOf(); ok {
		r.source.recordConfirmation(at)
	}
	for _, m := range out.Messages {
		if m.Ack == nil {
			continue
		}
		summary := r.source.Summary()
		m.Ack.Summary = &summary
		m.Ack.NewerVersions = append(m.Ack.NewerVersions, r.source.TakeNewerVersions()...)
	}
	return RelayOutput{Output: out}
}
