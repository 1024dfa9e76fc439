package admission_test

import (
	"fmt"
	"time"

	"fulmarmount.org/core/admission"
)

// A class that has borrowed idle slots is served again only after the class
// that they belong to.
func Example() {
	now := time.Unix(0, 0)
	l := admission.NewLimiter(2, []admission.Class{
		{Name: "bulk", Share: 1, MaxWait: time.Second, MaxQueue: 10},
		{Name: "urgent", Share: 1, MaxWait: time.Second, MaxQueue: 10},
	})
	acquire := func(id uint64, class int) {
		decisions := l.Acquire(now, admission.Request{ID: id, Class: class, Deadline: now.Add(time.Minute)})
		fmt.Println(id, decisions[len(decisions)-1].Verdict == admission.Admit)
	}
	acquire(1, 0)
	acquire(2, 0) // borrows the idle slot of the urgent class
	acquire(3, 0)
	acquire(4, 1)
	for _, d := range l.Release(now.Add(time.Millisecond), 1) {
		fmt.Println("next:", d.ID)
	}
	// Output:
	// 1 true
	// 2 true
	// 3 false
	// 4 false
	// next: 4
}

// A caller of a backend server whose number of slots is not known follows the limit
// that its latency shows.
func ExampleConcurrencyLimit() {
	limit := admission.NewConcurrencyLimit(admission.ConcurrencyLimitOptions{Min: 1, Max: 16, MaxLatencyRatio: 1.5, SampleWindow: 4})
	for range 4 {
		limit.Observe(10*time.Millisecond, 4, false)
	}
	fmt.Println(limit.Limit())
	for range 4 {
		limit.Observe(50*time.Millisecond, 16, false) // requests wait for each other
	}
	fmt.Println(limit.Limit())
	// Output:
	// 16
	// 12
}

// A flood of one service leaves the other its turn and its room.
func ExampleScheduler() {
	s := admission.NewScheduler[string](8, 1)
	for s.Enqueue(1, 1, "flood") {
	}
	fmt.Println(s.Enqueue(2, 1, "other"))
	for range 2 {
		packet, _, _ := s.Dequeue()
		fmt.Println(packet)
	}
	// Output:
	// true
	// flood
	// other
}
