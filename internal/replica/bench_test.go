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

// sink is a state machine that keeps nothing.
type sink struct{}

func (sink) Apply(uint64, []byte) []byte { return nil }
func (sink) Snapshot() ([]byte, error)   { return []byte{0}, nil }
func (sink) Restore([]byte) error        { return nil }

// direct hands messages over and counts the bytes of their entries.
type direct struct {
	nodes map[quorum.ReplicaID]*Node
	bytes atomic.Int64
}

// Send implements Transport.
func (d *direct) Send(to quorum.Member, messages []quorum.Message) {
	for i := range messages {
		for _, e := range messages[i].Entries {
			d.bytes.Add(int64(len(e.Data)))
		}
	}
	d.nodes[to.ID].Receive(messages)
}

const benchCommandBytes = 256

// BenchmarkPropose measures whole commits with real syncs: one replica and
// three on one disk, with clients that each wait for their answer.
// FULMARMOUNT_BENCH_FOLDER sets the folder, and so the disk.
func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, clients := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", replicas, clients), func(b *testing.B) {
				leader, d := startBench(b, replicas)
				benchPropose(b, leader, clients)
				b.ReportMetric(float64(d.bytes.Load())/float64(b.N), "sent-B/commit")
			})
		}
	}
}

func startBench(b *testing.B, replicas int) (*Node, *direct) {
	folder, err := os.MkdirTemp(os.Getenv("FULMARMOUNT_BENCH_FOLDER"), "propose")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = os.RemoveAll(folder) })
	d := &direct{nodes: map[quorum.ReplicaID]*Node{}}
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
	ticks := make(chan time.Time) // none before all nodes are known
	for _, s := range stores {
		if err := Bootstrap(s, 7, members...); err != nil {
			b.Fatal(err)
		}
		n, err := Start(Options{
			Store: s, Machine: sink{}, Transport: d, Ticks: ticks, Rand: rand.New(rand.NewPCG(1, uint64(s.Replica()))),
		})
		if err != nil {
			b.Fatal(err)
		}
		d.nodes[s.Replica()] = n
		b.Cleanup(func() {
			close(n.stop)
			<-n.done
			_ = s.Close()
		})
	}
	leader := d.nodes[members[0].ID]
	for {
		if soft, _ := leader.Leader(); soft.Role == quorum.Leader {
			return leader, d
		}
		_ = leader.call(context.Background(), leader.core.Tick)
	}
}

func benchPropose(b *testing.B, leader *Node, clients int) {
	latencies := make([]*hdrhistogram.Histogram, clients)
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan error, clients)
	b.ResetTimer()
	for i := range clients {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		go func() {
			command := make([]byte, benchCommandBytes)
			for left.Add(-1) >= 0 {
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
