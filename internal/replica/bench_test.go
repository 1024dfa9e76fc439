package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmarmount.org/core/quorum"
	"fulmarmount.org/fulmarmount/internal/disk"
)

// discardStateMachine is a state machine without state.
type discardStateMachine struct{}

func (discardStateMachine) Apply(uint64, []byte) []byte { return nil }
func (discardStateMachine) Snapshot() ([]byte, error)   { return []byte{0}, nil }
func (discardStateMachine) Restore([]byte) error        { return nil }

// directTransport passes messages directly to the recipient and counts the bytes of
// their entries.
type directTransport struct {
	nodes      map[quorum.ReplicaID]*Node
	entryBytes atomic.Int64
}

// Send implements Transport.
func (d *directTransport) Send(to quorum.Member, messages []quorum.Message) {
	for i := range messages {
		for _, e := range messages[i].Entries {
			d.entryBytes.Add(int64(len(e.Data)))
		}
	}
	d.nodes[to.ID].Receive(messages)
}

const benchCommandBytes = 256

// BenchmarkPropose measures commits end to end, including disk syncs, with one
// replica and with three on one disk. Each client has one proposal outstanding.
// FULMARMOUNT_BENCH_FOLDER selects the folder and thereby the disk.
func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, clients := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", replicas, clients), func(b *testing.B) {
				leader, d := startBenchCluster(b, replicas)
				benchPropose(b, leader, clients)
				b.ReportMetric(float64(d.entryBytes.Load())/float64(b.N), "sent-B/commit")
			})
		}
	}
}

func startBenchCluster(b *testing.B, replicas int) (*Node, *directTransport) {
	folder, err := os.MkdirTemp(os.Getenv("FULMARMOUNT_BENCH_FOLDER"), "propose")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = os.RemoveAll(folder) })
	d := &directTransport{nodes: map[quorum.ReplicaID]*Node{}}
	var stores []*disk.Store
	var members []quorum.Member
	for i := range replicas {
		s, err := disk.Open(disk.Options{Dir: filepath.Join(folder, fmt.Sprint(i))})
		if err != nil {
			b.Fatal(err)
		}
		stores = append(stores, s)
		members = append(members, quorum.Member{ID: s.Replica()})
	}
	ticks := make(chan time.Time) // never ticks: no node may send before d.nodes is complete
	for _, s := range stores {
		if err := Bootstrap(s, 7, members...); err != nil {
			b.Fatal(err)
		}
		n, err := Start(Options{
			Store: s, StateMachine: discardStateMachine{}, Transport: d, Ticks: ticks, Rand: rand.New(rand.NewPCG(1, uint64(s.Replica()))),
		})
		if err != nil {
			b.Fatal(err)
		}
		d.nodes[s.Replica()] = n
		b.Cleanup(func() {
			close(n.stopRequested)
			<-n.done
			_ = s.Close()
		})
	}
	leader := d.nodes[members[0].ID]
	for {
		if soft, _ := leader.Leader(); soft.Role == quorum.Leader {
			return leader, d
		}
		_ = leader.runInLoop(context.Background(), leader.raft.Tick)
	}
}

func benchPropose(b *testing.B, leader *Node, clients int) {
	latencies := make([]*hdrhistogram.Histogram, clients)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	done := make(chan error, clients)
	b.ResetTimer()
	for i := range clients {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		go func() {
			command := make([]byte, benchCommandBytes)
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					done <- err
					return
				}
				_ = latencies[i].RecordValue(int64(time.Since(start)))
			}
			done <- nil
		}()
	}
	for range clients {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	for _, h := range latencies[1:] {
		latencies[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(latencies[0].ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(latencies[0].ValueAtQuantile(99))/1e3, "p99-µs")
}
