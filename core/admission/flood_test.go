package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// utilization returns the fraction of a service's slot time that was spent on
// requests completed by their deadline.
func utilization(d deployment, service int, span time.Duration, rs []classResult) float64 {
	var busy time.Duration
	for i, c := range d.classes {
		if c.service == service {
			busy += rs[i].slotTime
		}
	}
	return busy.Seconds() / (float64(d.serverCounts[service]*serverSlots) * span.Seconds())
}

// The targets of the flood tests.
const (
	minOthersGoodput = 0.98 // of the classes that are not flooded
	maxP99Ratio      = 2.0  // of those classes, relative to normal load
	minUtilization   = 0.95 // of the flooded service
	maxRetryRatio    = 0.10 // retries per first send

	shortSpan = 2 * time.Second
	longSpan  = 4 * time.Second
)

// TestFloodDoesNotDegradeOtherClasses floods each class in turn, and checks the
// targets: goodput and p99 latency of the other classes, retries, and
// utilization.
func TestFloodDoesNotDegradeOtherClasses(t *testing.T) {
	for _, d := range deployments {
		normal := runFlood(d, -1, 0, shortSpan, false)
		for flooded, c := range d.classes {
			for _, factor := range []float64{1, 10, 50} {
				t.Run(fmt.Sprintf("%s/%s/%gx", d.name, c.name, factor), func(t *testing.T) {
					is := is.New(t)
					results := runFlood(d, flooded, factor, shortSpan, false)
					sends, firstSends := 0, 0
					for i := range results {
						sends += results[i].sends
						firstSends += results[i].firstSends
						if i == flooded {
							continue
						}
						is.True(results[i].goodput() >= minOthersGoodput)
						is.True(float64(results[i].p99()) <= maxP99Ratio*float64(normal[i].p99()))
					}
					is.True(float64(sends) <= float64(firstSends)*(1+maxRetryRatio))
					if factor == 10 {
						is.True(utilization(d, c.service, shortSpan, results) >= minUtilization)
					}
				})
			}
		}
	}
}

// TestFloodDegradesOtherClassesWithoutAdmission checks that the floods are hard
// enough to degrade a system without admission control.
func TestFloodDegradesOtherClassesWithoutAdmission(t *testing.T) {
	is := is.New(t)
	rs := runFlood(deployments[0], 0, 10, longSpan, true)
	is.True(rs[1].goodput() < minOthersGoodput)
	is.True(utilization(deployments[0], 0, longSpan, rs) < minUtilization)
}

// BenchmarkFlood prints the goodput and latency of the other classes while each
// class floods, with admission control and for the naive version: one queue, no
// shares, three retries.
func BenchmarkFlood(b *testing.B) {
	for range b.N {
		for _, d := range deployments {
			b.Run(d.name, func(b *testing.B) {
				var out strings.Builder
				printFlood(&out, d)
				fmt.Print(out.String())
			})
		}
	}
}

func printFlood(out *strings.Builder, d deployment) {
	normal := [2][]classResult{runFlood(d, -1, 0, longSpan, false), runFlood(d, -1, 0, longSpan, true)}
	fmt.Fprintf(out, "%s: others' goodput and p99 against normal load | slots used for answers | sends per first send\n", d.name)
	for flooded, c := range d.classes {
		for _, factor := range []float64{1, 2, 5, 10, 50} {
			fmt.Fprintf(out, "%-14s %3gx", c.name, factor)
			for v, name := range []string{"shares", "naive"} {
				rs := runFlood(d, flooded, factor, longSpan, v == 1)
				worst, slowest := 1.0, 0.0
				sends, firstSends := 0, 0
				for i := range rs {
					sends += rs[i].sends
					firstSends += rs[i].firstSends
					if i != flooded {
						worst = min(worst, rs[i].goodput())
						slowest = max(slowest, float64(rs[i].p99())/float64(normal[v][i].p99()))
						if rs[i].completed == 0 {
							slowest = math.Inf(1)
						}
					}
				}
				fmt.Fprintf(out, " | %s %5.1f%% p99 x%4.2f used %5.1f%% sends %.2f",
					name, 100*worst, slowest, 100*utilization(d, c.service, longSpan, rs), float64(sends)/float64(firstSends))
			}
			fmt.Fprintln(out)
		}
	}
}
