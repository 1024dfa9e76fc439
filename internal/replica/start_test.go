package replica

import (
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/quorum"
)

// gatedTransport sends once its gate is closed, so that no message is lost for a replica
// that has not started yet.
type gatedTransport struct {
	Transport
	gate <-chan struct{}
}

func (g gatedTransport) Send(to quorum.Member, messages []quorum.Message) {
	<-g.gate
	g.Transport.Send(to, messages)
}

// Replicas that come back together elect a leader without waiting for their clocks.
func TestReplicasElectALeaderWithoutATick(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	c := newConfiguredCluster(t, func(o *Options) { o.Transport = gatedTransport{o.Transport, gate} }, memoryStores(t, 3)...)
	elected := make(chan struct{}, len(c.nodes))
	for _, n := range c.nodes {
		go func() {
			for {
				soft, changed := n.Leader()
				if soft.Role == quorum.Leader {
					elected <- struct{}{}
					return
				}
				select {
				case <-changed:
				case <-n.Done():
					return
				}
			}
		}()
	}
	close(gate)
	<-elected
	is.Equal(c.elapsedTicks, 0)
}
