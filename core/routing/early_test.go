package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestOnlySegmentsThatLackKnowledgeAreEarly(t *testing.T) {
	tests := []struct {
		name     string
		decision Decision
		flags    Flags
		want     bool
	}{
		{"configuration not confirmed", Decision{Verdict: Drop, Reason: ReasonConfigUnconfirmed}, SYN, true},
		{"view may lack members", Decision{Verdict: Drop, Reason: ReasonPartialView}, ACK, true},
		{"reset from the caller", Decision{Verdict: Drop, Reason: ReasonPartialView}, RST, false},
		{"no room", Decision{Verdict: Drop, Reason: ReasonOverloaded}, SYN, false},
		{"cold limit", Decision{Verdict: Drop, Reason: ReasonColdLimit}, SYN, false},
		{"answered", Decision{Verdict: Reset, Reason: ReasonPartialView}, ACK, false},
		{"forwarded", Decision{Verdict: Forward, Reason: ReasonPlaced}, SYN, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.decision.IsEarly(&Segment{Flags: tt.flags}), tt.want)
		})
	}
}
