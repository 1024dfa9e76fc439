package admission_test

import (
	"fmt"
	"time"

	"fulmarmount.org/core/admission"
)

// A class that borrowed idle slots gives them back before anything else of its
// own starts.
func Example() {
	now := time.Unix(0, 0)
	l := admission.NewLimiter(2, []admission.Class{
		{Name: "bulk", Share: 1, MaxWait: time.Second, MaxQueue: 10},
		{Name: "urgent", Share: 1, MaxWait: time.Second, MaxQueue: 10},
	})
	arrive := func(id uint64, class int) {
		ds := l.Acquire(now, admission.Request{ID: id, Class: class, Deadline: now.Add(time.Minute)})
		fmt.Println(id, ds[len(ds)-1].Verdict == admission.Admit)
	}
	arrive(1, 0)
	arrive(2, 0) // borrows the idle slot of the urgent class
	arrive(3, 0)
	arrive(4, 1)
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
