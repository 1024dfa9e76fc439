package main

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fulmarmount.org/core/admission"
	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/lease"
	"fulmarmount.org/core/quorum"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/disk"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/packet"
)

// commandBytes is the size of a command of one configuration change.
const commandBytes = 512

// cluster is a set of replicas joined by encoded messages.
type cluster struct {
	replicas map[quorum.ReplicaID]*quorum.Replica
	leader   *quorum.Replica
	bytes    int
	applied  int
}

func newCluster(voters int) *cluster {
	var members []quorum.Member
	for i := range voters {
		members = append(members, quorum.Member{ID: quorum.ReplicaID(i + 1)})
	}
	c := &cluster{replicas: map[quorum.ReplicaID]*quorum.Replica{}}
	for _, m := range members {
		hard, snapshot := quorum.Bootstrap(1, members...)
		r, err := quorum.New(quorum.Config{
			ID: m.ID, Rand: rand.New(rand.NewPCG(uint64(m.ID), 1)), HardState: hard, Snapshot: snapshot,
		})
		must(err)
		c.replicas[m.ID] = r
	}
	first := c.replicas[1]
	for first.Status().Role != quorum.Leader {
		first.Tick()
		c.settle()
	}
	c.leader = first
	return c
}

// settle carries out what every replica asks for until nothing is left.
func (c *cluster) settle() {
	for busy := true; busy; {
		busy = false
		for id := range quorum.ReplicaID(len(c.replicas)) {
			busy = c.carryOut(c.replicas[id+1]) || busy
		}
	}
}

func (c *cluster) carryOut(r *quorum.Replica) bool {
	rd := r.Ready()
	if rd.IsEmpty() {
		return false
	}
	if r == c.leader {
		c.applied += len(rd.CommittedEntries)
	}
	messages := append(append([]quorum.Message(nil), rd.ImmediateMessages...), rd.Messages...)
	r.Advance(rd)
	for _, m := range messages {
		b, err := cbor.Marshal(m)
		must(err)
		c.bytes += len(b)
		var received quorum.Message
		must(cbor.Unmarshal(b, &received))
		must(c.replicas[m.To].Step(received))
	}
	return true
}

// measureCommits counts the messages and the processor time of one commit, all
// replicas together.
func measureCommits() []Series {
	bytes := Series{ID: "commit_bytes", Title: "Messages of one commit of 512 bytes, all replicas", X: "replicas", Y: "bytes"}
	ns := Series{ID: "commit_ns", Title: "Processor time of one commit, all replicas, without disk", X: "replicas", Y: "ns"}
	for _, voters := range []int{1, 3, 5, 31} {
		c := newCluster(voters)
		commits := 0
		c.bytes = 0
		t := nsPerOp(func(i int) {
			must(c.leader.Propose(uint64(i), make([]byte, commandBytes)))
			c.settle()
			commits++
		})
		ns.Points = append(ns.Points, Point{float64(voters), t})
		bytes.Points = append(bytes.Points, Point{float64(voters), float64(c.bytes) / float64(commits)})
	}
	return []Series{bytes, ns}
}

// measureLeases holds the leases of a fleet in one registry and renews them.
func measureLeases() []Series {
	heap := Series{ID: "lease_heap", Title: "Leases and views of a fleet in one registry", X: "hosts", Y: "bytes"}
	ns := Series{ID: "lease_ns", Title: "Renewal of one lease", X: "hosts", Y: "ns"}
	for _, hosts := range fleetHosts {
		var r *lease.Registry
		heap.Points = append(heap.Points, Point{float64(hosts), heapOf(func() any {
			r = registryOf(hosts)
			return r
		})})
		members := make([]view.Announcement, hosts)
		for i := range members {
			members[i] = announcement(i)
		}
		ns.Points = append(ns.Points, Point{float64(hosts), nsPerOp(func(i int) {
			a := members[i%hosts]
			renewals++
			a.Sequence = renewals
			must(r.Announce(time.Second, view.ServiceID(i%hosts/hostsPerService+1), a))
		})})
	}
	return []Series{heap, ns}
}

// renewals numbers the announcements of all measurements.
var renewals uint64 = 1

func registryOf(hosts int) *lease.Registry {
	r := lease.NewRegistry(lease.Options{})
	r.StartEpoch(0, 1, nil)
	for i := range hosts {
		must(r.Announce(0, view.ServiceID(i/hostsPerService+1), announcement(i)))
	}
	r.Tick(time.Minute)
	return r
}

func announcement(host int) view.Announcement {
	m := serviceView(host/hostsPerService, hostsPerService, view.Version{}).Members[host%hostsPerService]
	return view.Announcement{
		Service: serviceName(host / hostsPerService), ID: m.ID, Zone: m.Zone, Incarnation: m.Incarnation,
		Packets: m.Packets, Requests: m.Requests, Slots: m.Slots, Healthy: true, Sequence: 1, TTL: 3 * time.Second,
	}
}

// measureSync times a save with a real sync in the system's temporary folder.
func measureSync() []Series {
	s := Series{ID: "sync_us", Title: "Save of one batch of commits of 512 bytes, synced", X: "commits in the batch", Y: "µs"}
	for _, batch := range []int{1, 10, 30, 100} {
		folder, err := os.MkdirTemp("", "capacity")
		must(err)
		store, err := disk.Open(disk.Options{Dir: folder})
		must(err)
		index := uint64(2)
		began := time.Now()
		const saves = 50
		for range saves {
			entries := make([]quorum.Entry, batch)
			for i := range entries {
				entries[i] = quorum.Entry{Index: index, Term: 2, Kind: quorum.EntryCommand, Data: make([]byte, commandBytes)}
				index++
			}
			must(store.Save(quorum.Ready{Entries: entries, MustSync: true}))
		}
		s.Points = append(s.Points, Point{float64(batch), float64(time.Since(began).Microseconds()) / saves})
		must(store.Close())
		must(os.RemoveAll(folder))
	}
	return []Series{s}
}

func measureAdmission() []Series {
	s := Series{ID: "admit_ns", Title: "Admission of one request: arrive, start, release", X: "slots in use", Y: "ns"}
	for _, slots := range []int{4, 40, 400} {
		l := admission.NewLimiter(slots, []admission.Class{
			{Name: "write", Share: 2, MaxWait: time.Second, MaxQueue: 1_000},
			{Name: "read", Share: 1, MaxWait: time.Second, MaxQueue: 1_000},
		})
		now := time.Unix(0, 0)
		for i := range slots - 1 {
			l.Acquire(now, admission.Request{ID: uint64(i + 1), Class: i % 2})
		}
		s.Points = append(s.Points, Point{float64(slots), nsPerOp(func(i int) {
			id := uint64(slots + i)
			l.Acquire(now, admission.Request{ID: id, Class: i % 2})
			l.Release(now, id)
		})})
	}
	return []Series{s}
}

// sealKeys is one fixed packet key.
type sealKeys struct{ secret [keys.SecretSize]byte }

func (k *sealKeys) Active() (uint8, []byte)     { return 1, k.secret[:] }
func (k *sealKeys) Secret(uint8) ([]byte, bool) { return k.secret[:], true }

func measureSeal() []Series {
	s := Series{ID: "seal_ns", Title: "Envelope of one packet: seal and open", X: "payload bytes", Y: "ns"}
	at := time.Now()
	for _, size := range []int{40, 400, 1_250} {
		k := &sealKeys{}
		sealer := packet.NewSealer(k, 1)
		opener := packet.NewOpener(k, func() time.Time { return at })
		payload, out := make([]byte, size), make([]byte, 0, 2_000)
		t := tuple(1, 1)
		var header packet.Header
		s.Points = append(s.Points, Point{float64(size), nsPerOp(func(int) {
			sealed, err := sealer.Seal(out, &packet.Header{Kind: packet.Forward, ReplyTo: t.Service, Flow: flow.Packet{Service: 1, Tuple: t}}, payload)
			must(err)
			_, err = opener.Open(sealed, &header)
			must(err)
		})})
	}
	return []Series{s}
}
