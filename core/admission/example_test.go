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
