package attempt_test

import (
	"fmt"
	"time"

	"fulmarmount.org/core/attempt"
)

// If the connection of a request that is not repeatable breaks, the coordinator
// queries the state of the attempt instead of sending the request again.
func Example() {
	now := time.Unix(0, 0)
	target := attempt.Target{Server: "desk-1", Incarnation: 7}
	id := attempt.ID{Gateway: "entry-1", Run: 1, Sequence: 1}
	coordinator := attempt.New(attempt.Config{
		Deadline:     now.Add(10 * time.Second),
		SettleAfter:  time.Second,
		StallTimeout: time.Second,
		ReplyTimeout: time.Second,
		MaxSends:     3,
		Retries:      attempt.NewBudget(0.1, 10),
	})
	inputs := []attempt.Input{
		attempt.Start{},
		attempt.Routed{ID: id, Target: target},
		attempt.Reset{Stream: 1},
		attempt.Settled{Stream: 2, State: attempt.StateDone, HasResponse: true},
		attempt.Head{Stream: 3, ID: id, Length: 2},
		attempt.Body{Stream: 3, N: 2},
		attempt.End{Stream: 3, Total: 2},
	}
	for _, in := range inputs {
		for _, act := range coordinator.Step(now, in) {
			fmt.Printf("%T\n", act)
			if f, ok := act.(attempt.Finish); ok {
				fmt.Println(f.Result.Outcome)
			}
		}
	}
	// Output:
	// attempt.Route
	// attempt.Send
	// attempt.Settle
	// attempt.Fetch
	// attempt.Pass
	// attempt.Finish
	// answered
}
