package main

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// measurement makes one or more series.
type measurement struct {
	ids []string
	run func() []Series
}

// measurements lists all, in the order of the page.
func measurements() []measurement {
	return []measurement{
		{[]string{"forward_fleet", "forward_service"}, measureForward},
		{[]string{"view_heap", "view_bytes"}, measureViews},
		{[]string{"sink_heap", "relay_heap"}, measureStores},
		{[]string{"adopt_ns"}, measureAdopt},
		{[]string{"fanout_ns"}, measureFanOut},
		{[]string{"catchup_bytes", "catchup_ms", "deflate_bytes"}, measureCatchUp},
		{[]string{"idle_bytes", "idle_cpu"}, measureIdle},
		{[]string{"wire_bytes", "wire_cpu"}, measureWire},
		{[]string{"renew_bytes", "renew_cpu"}, measureRenewals},
		{[]string{"lease_heap", "lease_ns"}, measureLeases},
		{[]string{"conn_heap"}, measureConnections},
		{[]string{"flow_bytes", "deliver_ns"}, measureFlows},
		{[]string{"pointer_bytes"}, measurePointers},
		{[]string{"commit_bytes", "commit_ns"}, measureCommits},
		{[]string{"sync_us"}, measureSync},
		{[]string{"admit_ns"}, measureAdmission},
		{[]string{"seal_ns"}, measureSeal},
	}
}

// nsPerOp times an operation with the testing package's calibration.
func nsPerOp(op func(i int)) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			op(i)
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

// heapOf returns the live bytes that make leaves behind.
func heapOf(make func() any) float64 {
	before := liveHeap()
	kept := make()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // Finalizers of the first run free more.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
