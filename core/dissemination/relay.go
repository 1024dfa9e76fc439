package dissemination

import "time"

// RelayOutput is what a Relay asks of its caller.
type RelayOutput struct {
	Output
	// Deliveries go to the subscribers.
	Deliveries []Delivery
}

// Relay is a Sink whose content is served on. It is not safe for concurrent
// use.
type Relay struct {
	sink   *Sink
	source *Source
}

// NewRelay returns a Relay that holds nothing.
func NewRelay(now time.Duration, up SinkOptions, down SourceOptions) *Relay {
	store := NewStore(StoreOptions{})
	up.IsRelay = true
	return &Relay{sink: NewSink(now, store, up), source: NewSource(store, down)}
}

// Sink returns the side that faces the root.
func (r *Relay) Sink() *Sink { return r.sink }

// Source returns the side that faces the daemons. Pass its Tick and Receive
// through the Relay.
func (r *Relay) Source() *Source { return r.source }

// Connect opens a session with the Source above.
func (r *Relay) Connect(now time.Duration, session uint64) RelayOutput {
	return r.output(r.sink.Connect(now, session))
}

// ReceiveFromSource takes a message of the Source above.
func (r *Relay) ReceiveFromSource(now time.Duration, m DownstreamMessage) RelayOutput {
	out := r.output(r.sink.Receive(now, m))
	out.Deliveries = r.source.Tick(now)
	return out
}

// ReceiveFromSubscriber takes a message of a subscriber.
func (r *Relay) ReceiveFromSubscriber(now time.Duration, peer PeerID, m UpstreamMessage) RelayOutput {
	return RelayOutput{Deliveries: r.source.Receive(now, peer, m)}
}

// Tick does what is due on both sides.
func (r *Relay) Tick(now time.Duration) RelayOutput {
	out := r.output(r.sink.Tick(now))
	out.Deliveries = r.source.Tick(now)
	return out
}

// output adds what the subscribers told to the acknowledgements.
func (r *Relay) output(out Output) RelayOutput {
	if at, ok := r.sink.AsOf(); ok {
		r.source.confirm(at)
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
