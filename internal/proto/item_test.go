package proto

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
)

const (
	// maxListeners is the number of listeners that a document may have, see core/fleet.
	maxListeners = 100_000
	// daemonRate is what a daemon may receive from control in bytes a second, and inForce
	// the time in which a change is active everywhere (docs/DEVELOPERS.md).
	daemonRate = 20_000
	inForce    = 17 * time.Second
)

// listenedService returns a service with n listeners at distinct addresses.
func listenedService(n int) Service {
	random := rand.New(rand.NewPCG(1, 2))
	s := Service{ID: 1, Name: "desk", Mode: ModeSegment}
	for _, offset := range random.Perm(1 << 17)[:n] {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 198<<24|18<<16+uint32(offset))
		s.Inbound = append(s.Inbound, Inbound{
			Addr: netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(443+8000*random.IntN(2))), Weight: 1,
			Timeout: time.Duration(1+random.IntN(8)) * 500 * time.Millisecond, Objective: 150 * time.Millisecond,
			Urgency: uint8(random.IntN(3)), Idempotent: random.IntN(2) == 0,
		})
	}
	return s
}

// publish returns the item of a service as daemons decode it, and its size in bytes.
func publish(t *testing.T, s Service) (Service, int) {
	t.Helper()
	is := is.New(t)
	root, err := dissemination.NewRoot(1, dissemination.NewStore(dissemination.StoreOptions{}), dissemination.SourceOptions{Rand: rand.New(rand.NewPCG(1, 2))})
	is.NoErr(err)
	it, err := ServiceItem(s, root.NextVersion())
	is.NoErr(err)
	_, err = root.Publish(it)
	is.NoErr(err)
	var u Update
	is.NoErr(u.Add(it))
	is.Equal(len(u.Services), 1)
	u.Services[0].Version = view.Version{}
	return u.Services[0], len(it.Body)
}

// Guards against a document that is acknowledged and never in force, since the item of its
// service is larger than an item may be.
func TestServiceWithTheMostListenersCanBePublished(t *testing.T) {
	is := is.New(t)
	s := listenedService(maxListeners)
	decoded, size := publish(t, s)
	is.True(decoded.Equal(&s))
	t.Log("bytes", size)
}

// Guards against changes that come into force late at every daemon, since control sends
// each of them all listeners of a service.
func TestServiceWithManyListenersFitsTheRateOfADaemon(t *testing.T) {
	is := is.New(t)
	s := listenedService(34_000)
	decoded, size := publish(t, s)
	is.True(decoded.Equal(&s))
	t.Log("bytes", size)
	is.True(size <= daemonRate*int(inForce/time.Second))
}

// Most services have few listeners. Their items are as in earlier releases.
func TestSmallItemsAreNotCompressed(t *testing.T) {
	is := is.New(t)
	s := listenedService(10)
	it, err := ServiceItem(s, view.Version{Epoch: 1, Number: 1})
	is.NoErr(err)
	body, err := cbor.Marshal(s)
	is.NoErr(err)
	is.Equal(it.Body, body)
}
