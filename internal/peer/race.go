package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// raceStagger is how long an address may take before the next one is tried
// beside it.
const raceStagger = 100 * time.Millisecond

// opened is the outcome of one attempt of a race.
type opened struct {
	stream *Stream
	addr   netip.AddrPort
	err    error
}

// OpenAny opens a stream of the given kind to the first of several addresses that
// answers. Each has a head start on the next, so a dead process costs little.
func (p *Pool) OpenAny(ctx context.Context, addrs []netip.AddrPort, kind string, fresh bool) (*Stream, netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan opened)
	attempt := func(addr netip.AddrPort) {
		s, err := p.open(ctx, addr, kind, fresh)
		select {
		case outcomes <- opened{s, addr, err}:
		case <-ctx.Done():
			if s != nil {
				s.Abort() // another one has won
			}
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var failed []error
	for next, open := 0, 0; next < len(addrs) || open > 0; {
		select {
		case <-ctx.Done():
			failed = append(failed, ctx.Err())
			next, open = len(addrs), 0
		case <-timer.C:
			if next < len(addrs) {
				go attempt(addrs[next])
				next, open = next+1, open+1
				timer.Reset(raceStagger)
			}
		case o := <-outcomes:
			if o.err == nil {
				return o.stream, o.addr, nil
			}
			failed, open = append(failed, o.err), open-1
			timer.Reset(0) // the next one need not wait
		}
	}
	return nil, netip.AddrPort{}, DialFailed.Wrap(errors.Join(failed...), "open a %s stream to any of %v", kind, addrs)
}
